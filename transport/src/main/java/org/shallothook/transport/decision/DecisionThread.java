package org.shallothook.transport.decision;

import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.shallothook.coordination.port.Counters;
import org.shallothook.transport.logging.LogComponent;

/**
 * The one thread on which a process makes its decisions, fed through a ring of bounded size.
 *
 * <pre>{@code
 * DecisionThread<RouterEvent> thread =
 *     new DecisionThread<>(settings, RouterEvent.Tick::new, clock, counters);
 * thread.start(core::handle);
 * boolean taken = thread.offer(event);
 * }</pre>
 *
 * <p>New work is refused once only the slots reserved for open work are left. Events of open work
 * wait beside the ring when it is full; {@link #isCongested()} then asks senders to stop reading,
 * which bounds their number.
 *
 * <p>Invariant: events of one sender are handled in order, with a clock that never decreases; an
 * exception of the handler is counted and does not end the thread. All methods but {@link #start}
 * are thread-safe; none blocks but {@link #close}.
 *
 * @param <E> type of the events
 */
public final class DecisionThread<E> implements EventSink<E>, AutoCloseable {
  private static final long SHUTDOWN_SECONDS = 5;

  private final DecisionSettings settings;
  private final Supplier<E> tick;
  private final LongSupplier clockMicros;
  private final Counters counters;
  private final TickWaitStrategy waitStrategy;
  private final Disruptor<Slot<E>> disruptor;
  private final RingBuffer<Slot<E>> ring;
  private final Queue<Waiting<E>> waiting = new ConcurrentLinkedQueue<>();
  private final AtomicInteger waitingCount = new AtomicInteger();
  private volatile boolean isClosed;

  /**
   * Creates a thread that does not run yet.
   *
   * @param settings name, size and interval
   * @param tick makes the event that says that time has passed
   * @param clockMicros clock in microseconds since the epoch
   * @param counters counts failures and congestion
   */
  public DecisionThread(
      DecisionSettings settings, Supplier<E> tick, LongSupplier clockMicros, Counters counters) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.tick = Objects.requireNonNull(tick, "tick");
    this.clockMicros = Objects.requireNonNull(clockMicros, "clockMicros");
    this.counters = Objects.requireNonNull(counters, "counters");
    this.waitStrategy = new TickWaitStrategy(settings.tickIntervalMicros());
    this.disruptor =
        new Disruptor<>(
            Slot::new,
            settings.ringSize(),
            task -> new Thread(task, settings.name()),
            ProducerType.MULTI,
            waitStrategy);
    this.ring = disruptor.getRingBuffer();
  }

  /** Starts the thread. Called once. */
  @SuppressWarnings("unchecked")
  public void start(DecisionHandler<E> handler) {
    disruptor.handleEventsWith(new Consumer(handler));
    disruptor.start();
  }

  @Override
  public boolean offer(E event) {
    if (isClosed || isCongested() || ring.remainingCapacity() <= settings.reservedSlots()) {
      counters.increment("decision.ring-full");
      return false;
    }
    return publish(event, null);
  }

  @Override
  public void deliver(E event) {
    enqueue(event, null);
  }

  /** Runs a question on the decision thread, between two events. */
  public <T> CompletableFuture<T> ask(Supplier<T> question) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    enqueue(null, () -> answerTo(question, answer));
    return answer;
  }

  @Override
  public boolean isCongested() {
    return waitingCount.get() > 0;
  }

  /** Returns the number of free slots in the ring. */
  public long remainingCapacity() {
    return ring.remainingCapacity();
  }

  /** Handles what is in the ring and ends the thread. Must not be called on the thread itself. */
  @Override
  public void close() {
    isClosed = true;
    try {
      disruptor.shutdown(SHUTDOWN_SECONDS, TimeUnit.SECONDS);
    } catch (TimeoutException e) {
      LogComponent.DECISION.warn("Events were left when thread '{}' ended.", settings.name());
      disruptor.halt();
    }
  }

  private void enqueue(E event, Runnable question) {
    if (isClosed) {
      counters.increment("decision.after-close");
      return;
    }
    if (waitingCount.get() == 0 && publish(event, question)) {
      return;
    }
    counters.increment("decision.waiting");
    waitingCount.incrementAndGet();
    waiting.add(new Waiting<>(ring.getCursor(), event, question));
  }

  private boolean publish(E event, Runnable question) {
    return ring.tryPublishEvent(
        (slot, sequence) -> {
          slot.event = event;
          slot.question = question;
        });
  }

  private static <T> void answerTo(Supplier<T> question, CompletableFuture<T> answer) {
    try {
      answer.complete(question.get());
    } catch (RuntimeException e) {
      answer.completeExceptionally(e);
    }
  }

  /** Place of one event in the ring. Written by one sender, then read by the thread. */
  private static final class Slot<E> {
    private E event;
    private Runnable question;
  }

  /** An event that found the ring full, with the last sequence that goes before it. */
  private record Waiting<E>(long afterSequence, E event, Runnable question) {}

  /** The thread's side of the ring. Used on the thread alone. */
  private final class Consumer implements EventHandler<Slot<E>> {
    private final DecisionHandler<E> handler;
    private long nowMicros = Long.MIN_VALUE;
    private long nextTickMicros = Long.MIN_VALUE;
    private long handledSequence = -1;

    Consumer(DecisionHandler<E> handler) {
      this.handler = Objects.requireNonNull(handler, "handler");
    }

    @Override
    public void onEvent(Slot<E> slot, long sequence, boolean endOfBatch) {
      E event = slot.event;
      Runnable question = slot.question;
      slot.event = null;
      slot.question = null;
      handledSequence = sequence;
      take(event, question);
      takeWaiting();
      tickWhenDue();
    }

    @Override
    public void onTimeout(long sequence) {
      takeWaiting();
      advanceClock();
      tick();
    }

    private void takeWaiting() {
      Waiting<E> next = waiting.peek();
      while (next != null && next.afterSequence() <= handledSequence) {
        waiting.remove();
        waitingCount.decrementAndGet();
        take(next.event(), next.question());
        next = waiting.peek();
      }
    }

    private void tickWhenDue() {
      advanceClock();
      if (nowMicros >= nextTickMicros) {
        tick();
      }
    }

    private void tick() {
      nextTickMicros = nowMicros + settings.tickIntervalMicros();
      waitStrategy.ticked();
      take(tick.get(), null);
    }

    private void take(E event, Runnable question) {
      advanceClock();
      try {
        if (question != null) {
          question.run();
        } else {
          handler.handle(event, nowMicros);
        }
      } catch (RuntimeException | Error e) {
        counters.increment("decision.handler-failed");
        LogComponent.DECISION.error(e, "An event failed on thread '{}'.", settings.name());
      }
    }

    private void advanceClock() {
      nowMicros = Math.max(nowMicros, clockMicros.getAsLong());
    }
  }
}
