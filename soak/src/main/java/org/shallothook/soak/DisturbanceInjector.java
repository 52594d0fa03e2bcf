package org.shallothook.soak;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Begins random disturbances at random intervals; several may be active at the same time.
 *
 * <p>Invariant: the same seed yields the same disturbances at the same intervals. Not thread-safe.
 */
final class DisturbanceInjector {
  /** Maximum duration of a disturbance, in milliseconds. */
  static final long MAX_DURATION_MILLIS = 2_500;

  private static final int MIN_DURATION_MILLIS = 150;
  private static final int MIN_GAP_MILLIS = 150;
  private static final int MAX_GAP_MILLIS = 900;

  private final SoakDeployment deployment;
  private final SplittableRandom random;
  private final ExecutorService endExecutor = Executors.newCachedThreadPool();
  private final Map<Disturbance, Integer> counts = new EnumMap<>(Disturbance.class);

  DisturbanceInjector(SoakDeployment deployment, SplittableRandom random) {
    this.deployment = deployment;
    this.random = random;
  }

  /**
   * Disturbs the deployment for a number of seconds and waits until every disturbance has ended.
   *
   * @return how often each disturbance was begun
   * @throws IllegalStateException if a disturbance does not end within a minute
   */
  Map<Disturbance, Integer> run(int seconds, DisturbanceSet disturbances)
      throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (System.nanoTime() < deadlineNanos) {
      if (!disturbances.isEmpty()) {
        begin(disturbances.draw(random));
      }
      TimeUnit.MILLISECONDS.sleep(random.nextInt(MIN_GAP_MILLIS, MAX_GAP_MILLIS));
    }
    endExecutor.shutdown();
    if (!endExecutor.awaitTermination(1, TimeUnit.MINUTES)) {
      throw new IllegalStateException("A disturbance did not end within a minute; see the log");
    }
    return counts;
  }

  private void begin(Disturbance next) {
    counts.merge(next, 1, Integer::sum);
    long millis = random.nextInt(MIN_DURATION_MILLIS, (int) MAX_DURATION_MILLIS);
    Logger.info("soak: {} for {} ms", next, millis);
    Runnable end = next.begin(deployment, random.split());
    endExecutor.execute(() -> endAfter(millis, end));
  }

  private static void endAfter(long millis, Runnable end) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    end.run();
  }
}
