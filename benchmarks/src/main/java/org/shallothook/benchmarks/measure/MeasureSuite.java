package org.shallothook.benchmarks.measure;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.shallothook.benchmarks.workload.Deployment;

/**
 * Runs every experiment under both deployments, some side by side.
 *
 * <p>Invariant: figures and their order do not depend on the number of threads. Stateless and
 * thread-safe.
 */
public final class MeasureSuite {
  /** Seed of the figures that are bounded. */
  public static final long SEED = 1;

  private MeasureSuite() {}

  /**
   * Returns all measures in order of experiment and deployment.
   *
   * @param seed seed of every run
   * @param threads experiments that run side by side
   */
  public static List<Measure> run(long seed, int threads) throws InterruptedException {
    return run(
        seed,
        threads,
        EnumSet.allOf(Experiment.class),
        EnumSet.allOf(Deployment.class),
        HistoryCounts.DEFAULT);
  }

  /**
   * Returns the measures of some experiments under some deployments, in order of both.
   *
   * @param seed seed of every run
   * @param threads experiments that run side by side
   * @param experiments experiments to run
   * @param deployments deployments to run them under
   * @param histories number of histories under each deployment
   */
  public static List<Measure> run(
      long seed,
      int threads,
      Set<Experiment> experiments,
      Set<Deployment> deployments,
      HistoryCounts histories)
      throws InterruptedException {
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    Peaks peaks = new Peaks(seed);
    try {
      List<Future<List<Measure>>> runs = new ArrayList<>();
      for (Experiment experiment : experiments) {
        for (Deployment deployment : deployments) {
          runs.add(pool.submit(() -> experiment.run(deployment, peaks, histories)));
        }
      }
      List<Measure> measures = new ArrayList<>();
      for (Future<List<Measure>> run : runs) {
        measures.addAll(run.get());
      }
      return measures;
    } catch (ExecutionException e) {
      throw new IllegalStateException("An experiment failed.", e.getCause());
    } finally {
      pool.shutdownNow();
    }
  }
}
