package org.shallothook.benchmarks.load;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Chats sent through one arm at a fixed rate, whether or not earlier ones have ended.
 *
 * <p>Invariant: each chat counts from the time at which it was due. Not thread-safe; used once.
 */
final class Trial {
  private static final long SETTLE_SECONDS = 25;
  private static final double NANOS_IN_MILLISECOND = 1_000_000.0;

  private final Arm arm;
  private final List<LoadPrompt> prompts;
  private final ConcurrentHistogram firstTokenNanos = new ConcurrentHistogram(3);
  private final ConcurrentHistogram answerNanos = new ConcurrentHistogram(3);
  private final LongAdder failed = new LongAdder();
  private final Semaphore ended = new Semaphore(0);

  Trial(Arm arm, List<LoadPrompt> prompts) {
    this.arm = arm;
    this.prompts = List.copyOf(prompts);
  }

  /**
   * Result of a trial.
   *
   * <p>Immutable and thread-safe.
   *
   * @param chats chats sent
   * @param failed chats without a complete answer
   * @param medianMillis median time to the first token, in milliseconds
   * @param p99Millis 99th percentile of it, in milliseconds
   * @param answerMillis median time to the end of a whole answer, in milliseconds
   * @param processorMillis processor time of the routers for each chat, in milliseconds
   */
  record Result(
      int chats,
      long failed,
      double medianMillis,
      double p99Millis,
      double answerMillis,
      double processorMillis) {}

  /** Sends everything, waits for the answers and returns what was seen. */
  Result run(int rate, int seconds, RouterProcessor processor) throws InterruptedException {
    int total = rate * seconds;
    long before = processor.usedNanos();
    ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();
    long start = System.nanoTime();
    for (int number = 0; number < total; number++) {
      int next = number;
      long delay = TimeUnit.SECONDS.toNanos(number) / rate;
      var unused = clock.schedule(() -> send(next, start + delay), delay, TimeUnit.NANOSECONDS);
    }
    clock.shutdown();
    boolean isSettled = ended.tryAcquire(total, seconds + SETTLE_SECONDS, TimeUnit.SECONDS);
    clock.shutdownNow();
    long used = processor.usedNanos() - before;
    long missing = isSettled ? 0 : total - ended.availablePermits();
    return new Result(
        total,
        failed.sum() + missing,
        firstTokenNanos.getValueAtPercentile(50) / NANOS_IN_MILLISECOND,
        firstTokenNanos.getValueAtPercentile(99) / NANOS_IN_MILLISECOND,
        answerNanos.getValueAtPercentile(50) / NANOS_IN_MILLISECOND,
        used / NANOS_IN_MILLISECOND / total);
  }

  private void send(int number, long dueNanos) {
    arm.send(
        prompts.get(number % prompts.size()),
        number,
        new Arm.Reply() {
          @Override
          public void firstToken() {
            firstTokenNanos.recordValue(System.nanoTime() - dueNanos);
          }

          @Override
          public void ended(boolean isComplete) {
            if (isComplete) {
              answerNanos.recordValue(System.nanoTime() - dueNanos);
            } else {
              failed.increment();
            }
            ended.release();
          }
        });
  }
}
