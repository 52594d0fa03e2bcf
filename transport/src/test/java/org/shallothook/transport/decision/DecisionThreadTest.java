package org.shallothook.transport.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.shallothook.transport.metrics.TransportMetrics;

@Timeout(30)
final class DecisionThreadTest {
  private static final int TICK = -1;
  private static final int RING_SIZE = 16;

  private final TransportMetrics metrics = new TransportMetrics();
  private final AtomicLong clock = new AtomicLong();
  private final List<Integer> handled = new ArrayList<>();
  private final List<Long> times = new ArrayList<>();
  private final CountDownLatch gate = new CountDownLatch(1);
  private final DecisionThread<Integer> thread =
      new DecisionThread<>(
          new DecisionSettings("test", RING_SIZE, 1_000), () -> TICK, clock::get, metrics);

  @AfterEach
  void close() {
    gate.countDown();
    thread.close();
  }

  @Test
  void aFullRingRefusesNewWorkAndKeepsOpenWorkInOrder() throws Exception {
    thread.start((event, now) -> waitAndAdd(event));
    int accepted = 0;
    while (thread.offer(accepted)) {
      accepted++;
    }
    List<Integer> open = IntStream.range(1_000, 1_100).boxed().toList();
    open.forEach(thread::deliver);
    assertThat(thread.isCongested()).isTrue();
    gate.countDown();
    thread.query(() -> true).get();

    assertThat(accepted).isLessThan(RING_SIZE);
    assertThat(copyOf(handled).stream().filter(event -> event >= 1_000).toList()).isEqualTo(open);
    assertThat(thread.isCongested()).isFalse();
    assertThat(metrics.count("decision.ring-full")).isEqualTo(1);
  }

  @Test
  void anExceptionOfTheHandlerIsCountedAndTheThreadContinues() throws Exception {
    thread.start(
        (event, now) -> {
          if (event == 1) {
            throw new IllegalStateException("expected by the test");
          }
          handled.add(event);
        });
    thread.deliver(1);
    thread.deliver(2);

    assertThat(copyOf(handled)).contains(2);
    assertThat(metrics.count("decision.handler-failed")).isEqualTo(1);
  }

  @Test
  void theClockNeverDecreases() throws Exception {
    clock.set(10);
    thread.start((event, now) -> times.add(now));
    thread.deliver(1);
    thread.query(() -> true).get();
    clock.set(5);
    thread.deliver(2);

    List<Long> seen = copyOf(times);
    assertThat(seen).isInOrder();
    assertThat(seen.get(0)).isEqualTo(10);
  }

  @Test
  void ticksComeWithoutEvents() throws Exception {
    CountDownLatch ticks = new CountDownLatch(2);
    thread.start(
        (event, now) -> {
          clock.addAndGet(1_000);
          ticks.countDown();
        });

    assertThat(ticks.await(20, TimeUnit.SECONDS)).isTrue();
  }

  @Test
  void ticksComeBetweenEventsWithoutPauses() throws Exception {
    thread.start(
        (event, now) -> {
          handled.add(event);
          clock.addAndGet(1_000);
        });
    IntStream.range(0, 10).forEach(thread::deliver);

    assertThat(Collections.frequency(copyOf(handled), TICK)).isAtLeast(9);
  }

  /** Copies a list on the decision thread, because ticks are still being added to it. */
  private <T> List<T> copyOf(List<T> list) throws Exception {
    return thread.query(() -> List.copyOf(list)).get();
  }

  private void waitAndAdd(int event) {
    try {
      gate.await();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
    handled.add(event);
  }
}
