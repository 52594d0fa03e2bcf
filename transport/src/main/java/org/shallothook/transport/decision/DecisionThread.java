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
 * The single thread on which a process makes its decisions, fed through a bounded ring buffer.
 *
 * <pre>{@code
 * DecisionThread<RouterEvent> thread =
 *     new DecisionThread<>(settings, RouterEvent.Tick::new, clock, counters);
 * thread.start(core::handle);
 * boolean isAccepted = thread.offer(event);
 * }</pre>
 *
 * <p>New work is refused once only the slots reserved for work in progress are free. When the ring
 * buffer is full, events of work in progress go to an overflow queue. {@link #isCongested()} then
 * tells senders to stop reading from their sockets, which bounds the overflow queue.
 *
 * <p>Invariant: events of one sender are handled in order, with a clock that never decreases; an
 * exception thrown by the handler is counted and does not stop the thread. All methods except
 * {@link #start} are thread-safe; only {@link #close} blocks.
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
  private final Queue<OverflowEntry<E>> overflow = new ConcurrentLinkedQueue<>();
  private final AtomicInteger overflowCount = new AtomicInteger();
  private volatile boolean isClosed;

  /**
   * Creates a thread that is not started yet.
   *
   * @param settings thread name, capacity and tick interval
   * @param tick creates the event that is handled at each tick
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

  /** Starts the thread. Must be called once. */
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

  /** Runs a query on the decision thread between two events and returns its result. */
  public <T> CompletableFuture<T> query(Supplier<T> query) {
    CompletableFuture<T> result = new CompletableFuture<>();
    enqueue(null, () -> runQuery(query, result));
    return result;
  }

  @Override
  public boolean isCongested() {
    return overflowCount.get() > 0;
  }

  /** Returns the number of free slots in the ring buffer. */
  public long remainingCapacity() {
    return ring.remainingCapacity();
  }

  /** Handles the queued events and stops the thread. Must not be called on the thread itself. */
  @Override
  public void close() {
    isClosed = true;
    try {
      disruptor.shutdown(SHUTDOWN_SECONDS, TimeUnit.SECONDS);
    } catch (TimeoutException e) {
      LogComponent.DECISION.warn("Thread '{}' was stopped with unhandled events.", settings.name());
      disruptor.halt();
    }
  }

  private void enqueue(E event, Runnable query) {
    if (isClosed) {
      counters.increment("decision.after-close");
      return;
    }
    if (overflowCount.get() == 0 && publish(event, query)) {
      return;
    }
    counters.increment("decision.waiting");
    overflowCount.incrementAndGet();
    overflow.add(new OverflowEntry<>(ring.getCursor(), event, query));
  }

  private boolean publish(E event, Runnable query) {
    return ring.tryPublishEvent(
        (slot, sequence) -> {
          slot.event = event;
          slot.query = query;
        });
  }

  private static <T> void runQuery(Supplier<T> query, CompletableFuture<T> result) {
    try {
      result.complete(query.get());
    } catch (RuntimeException e) {
      result.completeExceptionally(e);
    }
  }

  /** Slot of the ring buffer. Written by one sender, then read by the decision thread. */
  private static final class Slot<E> {
    private E event;
    private Runnable query;
  }

  /**
   * An event or query that did not fit into the ring buffer.
   *
   * @param afterSequence last sequence of the ring buffer to be handled before it
   */
  private record OverflowEntry<E>(long afterSequence, E event, Runnable query) {}

  /** Consumer of the ring buffer. Confined to the decision thread. */
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
      Runnable query = slot.query;
      slot.event = null;
      slot.query = null;
      handledSequence = sequence;
      handle(event, query);
      handleOverflow();
      tickWhenDue();
    }

    @Override
    public void onTimeout(long sequence) {
      handleOverflow();
      advanceClock();
      tick();
    }

    private void handleOverflow() {
      OverflowEntry<E> next = overflow.peek();
      while (next != null && next.afterSequence() <= handledSequence) {
        overflow.remove();
        overflowCount.decrementAndGet();
        handle(next.event(), next.query());
        next = overflow.peek();
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
      waitStrategy.restartInterval();
      handle(tick.get(), null);
    }

    private void handle(E event, Runnable query) {
      advanceClock();
      try {
        if (query != null) {
          query.run();
        } else {
          handler.handle(event, nowMicros);
        }
      } catch (RuntimeException | Error e) {
        counters.increment("decision.handler-failed");
        LogComponent.DECISION.error(e, "Handling an event failed on thread '{}'.", settings.name());
      }
    }

    private void advanceClock() {
      nowMicros = Math.max(nowMicros, clockMicros.getAsLong());
    }
  }
}
