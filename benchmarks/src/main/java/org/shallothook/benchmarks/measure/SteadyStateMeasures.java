package org.shallothook.benchmarks.measure;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.shallothook.benchmarks.workload.Deployment;
import org.shallothook.coordination.placement.PlacementStrategy;

/** Measures of the steady state from runs of each policy. Immutable and thread-safe. */
final class SteadyStateMeasures {
  private static final double HIT_RATE_SHARE = 0.9;
  private static final double BETWEEN_TOKENS_MILLIS = 46;
  static final double FIRST_TOKEN_MILLIS = 460;

  private final Deployment deployment;
  private final Map<PlacementStrategy, RunMetrics> runs;
  private final double omniscientHitRate;

  SteadyStateMeasures(
      Deployment deployment, Map<PlacementStrategy, RunMetrics> runs, double omniscientHitRate) {
    this.deployment = deployment;
    this.runs = new LinkedHashMap<>(runs);
    this.omniscientHitRate = omniscientHitRate;
  }

  List<Measure> all() {
    ToDoubleFunction<RunMetrics> lastPercent = run -> run.timeToFirstTokenMillis(99);
    double bestBaseline =
        baselines(lastPercent).values().stream().mapToDouble(Double::doubleValue).min().orElse(0);
    return List.of(
        measure(
            "hit-rate-share-of-omniscient",
            "share",
            Bound.atLeast(HIT_RATE_SHARE),
            run -> run.hitRate() / omniscientHitRate),
        measure(
            "wasted-recomputation",
            "share of prompt tokens",
            Bound.atMost(Experiment.MAXIMUM_WASTE),
            RunMetrics::wastedShare),
        measure(
            "time-between-tokens-p95",
            "ms",
            Bound.atMost(BETWEEN_TOKENS_MILLIS),
            run -> run.timeBetweenTokensMillis(95)),
        measure(
            "time-to-first-token-p95",
            "ms",
            Bound.atMost(FIRST_TOKEN_MILLIS),
            run -> run.timeToFirstTokenMillis(95)),
        measure("time-to-first-token-p99", "ms", Bound.below(bestBaseline), lastPercent));
  }

  private Measure measure(
      String name, String unit, Bound bound, ToDoubleFunction<RunMetrics> figure) {
    double own = figure.applyAsDouble(runs.get(PlacementStrategy.PREFIX_AFFINITY));
    return new Measure(name, deployment, unit, own, bound, baselines(figure));
  }

  private Map<String, Double> baselines(ToDoubleFunction<RunMetrics> figure) {
    Map<String, Double> figures = new LinkedHashMap<>();
    runs.forEach(
        (strategy, run) -> {
          if (strategy != PlacementStrategy.PREFIX_AFFINITY) {
            String name = strategy.name().toLowerCase(Locale.ROOT).replace('_', '-');
            figures.put(name, figure.applyAsDouble(run));
          }
        });
    return figures;
  }
}
