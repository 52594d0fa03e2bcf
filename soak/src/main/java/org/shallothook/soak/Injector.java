package org.shallothook.soak;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Begins disturbances one after another, each of which lasts while others begin.
 *
 * <p>Invariant: the same seed begins the same disturbances at the same distances. Not thread-safe.
 */
final class Injector {
  /** Longest time that a disturbance lasts, in milliseconds. */
  static final long LONGEST_MILLIS = 2_500;

  private static final List<Disturbance> ALL = List.of(Disturbance.values());
  private static final int SHORTEST_MILLIS = 150;
  private static final int SHORTEST_GAP_MILLIS = 150;
  private static final int LONGEST_GAP_MILLIS = 900;

  private final Deployment deployment;
  private final SplittableRandom random;
  private final ExecutorService enders = Executors.newCachedThreadPool();
  private final Map<Disturbance, Integer> counts = new EnumMap<>(Disturbance.class);

  Injector(Deployment deployment, SplittableRandom random) {
    this.deployment = deployment;
    this.random = random;
  }

  /** Disturbs the deployment for a while, and returns once every disturbance has ended. */
  Map<Disturbance, Integer> run(int seconds, boolean isCalm) throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (System.nanoTime() < endNanos) {
      if (!isCalm) {
        begin();
      }
      TimeUnit.MILLISECONDS.sleep(random.nextInt(SHORTEST_GAP_MILLIS, LONGEST_GAP_MILLIS));
    }
    enders.shutdown();
    if (!enders.awaitTermination(1, TimeUnit.MINUTES)) {
      throw new IllegalStateException("A disturbance did not end; look for it in the log");
    }
    return counts;
  }

  private void begin() {
    Disturbance next = Draws.oneOf(ALL, random);
    counts.merge(next, 1, Integer::sum);
    long millis = random.nextInt(SHORTEST_MILLIS, (int) LONGEST_MILLIS);
    Logger.info("soak: {} for {} ms", next, millis);
    Runnable end = next.begin(deployment, random.split());
    enders.execute(() -> endAfter(millis, end));
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
