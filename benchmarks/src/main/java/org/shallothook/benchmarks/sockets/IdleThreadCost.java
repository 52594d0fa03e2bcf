package org.shallothook.benchmarks.sockets;

import java.lang.management.ManagementFactory;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.shallothook.coordination.port.Counters;
import org.shallothook.transport.decision.DecisionSettings;
import org.shallothook.transport.decision.DecisionThread;
import org.shallothook.transport.process.Clock;

/** Share of a core that a decision thread takes for its ticks alone, at a sidecar's interval. */
final class IdleThreadCost implements Measurement {
  private static final long TICK_MICROS = 20_000;
  private static final int RING = 1_024;
  private static final int TICKS = 400;

  @Override
  public String measure() throws Exception {
    CountDownLatch ticks = new CountDownLatch(TICKS);
    CountDownLatch warm = new CountDownLatch(TICKS);
    AtomicLong threadId = new AtomicLong();
    try (DecisionThread<Boolean> thread =
        new DecisionThread<>(
            new DecisionSettings("idle", RING, TICK_MICROS),
            () -> true,
            Clock::nowMicros,
            Counters.NONE)) {
      thread.start(
          (event, now) -> {
            threadId.set(Thread.currentThread().getId());
            warm.countDown();
            if (warm.getCount() == 0) {
              ticks.countDown();
            }
          });
      warm.await();
      long start = System.nanoTime();
      long usedBefore = processorNanos(threadId.get());
      ticks.await();
      long elapsed = System.nanoTime() - start;
      long used = processorNanos(threadId.get()) - usedBefore;
      return String.format(
          "idle decision thread: %.3f%% of a core, with a tick every %d ms",
          100.0 * used / elapsed, elapsed / TICKS / 1_000_000);
    }
  }

  private static long processorNanos(long threadId) {
    return ManagementFactory.getThreadMXBean().getThreadCpuTime(threadId);
  }
}
