package org.shallothook.benchmarks.measure;

import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.shallothook.benchmarks.virtual.ChatRecord;
import org.shallothook.benchmarks.virtual.FleetInvariants;
import org.shallothook.benchmarks.virtual.TeamSpec;
import org.shallothook.benchmarks.virtual.VirtualFleet;
import org.shallothook.benchmarks.workload.Deployment;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.request.RefusalReason;

/**
 * Every team is moved to a new model version under load: how long the engines take to load it, and
 * what callers notice.
 *
 * <p>The roll lasts from publication until every engine has the new version. The move of the
 * callers lasts from the first request on the new version to the last on the earlier one.
 *
 * <p>Not thread-safe.
 */
final class VersionRollScenario {
  private static final ModelVersion NEW_VERSION = ModelVersion.of(Deployment.MODEL.model(), "v2");
  private static final int GREATEST_CONCURRENT_LOADS = 2;
  private static final double IN_FORCE_SECONDS = 8;
  private static final long BEFORE_MICROS = 10 * SteadyLoad.SECOND_MICROS;
  private static final long AFTER_MICROS = 46 * SteadyLoad.SECOND_MICROS;
  private static final long WATCH_INTERVAL_MICROS = 10_000;
  private static final Set<RefusalReason> UNSERVED =
      EnumSet.of(RefusalReason.WRONG_VERSION, RefusalReason.NO_UPSTREAM);

  private final Deployment deployment;
  private final SteadyLoad load;
  private final VirtualFleet fleet;
  private final long rollMicros;
  private OptionalLong rolledMicros = OptionalLong.empty();

  VersionRollScenario(Deployment deployment, long seed) {
    this.deployment = deployment;
    load = SteadyLoad.start(deployment, seed, SteadyLoad.BOUNDED_LOAD);
    fleet = load.fleet();
    rollMicros = load.windowStartMicros() + BEFORE_MICROS;
  }

  List<Measure> measures() {
    long end = rollMicros + AFTER_MICROS;
    fleet.at(rollMicros, this::publish);
    fleet.at(rollMicros, () -> watch(end));
    load.endAt(end);
    load.runOut(end);
    long rolled = rolledMicros.orElse(end);
    RunMetrics before = RunMetrics.of(fleet, load.windowStartMicros(), rollMicros);
    RunMetrics during = RunMetrics.of(fleet, rollMicros, rolled);
    RunMetrics move = moveOf(RunMetrics.of(fleet, rollMicros, end));
    return List.of(
        measure("version-roll-time", "s", rollSeconds(), Bound.atMost(IN_FORCE_SECONDS), Map.of()),
        measure(
            "version-roll-concurrent-loads",
            "loads",
            fleet.platform().weights().greatestConcurrent(),
            Bound.atMost(GREATEST_CONCURRENT_LOADS),
            Map.of("loads", (double) fleet.platform().weights().fetches())),
        measure(
            "version-roll-time-to-first-token-p95",
            "ms",
            during.timeToFirstTokenMillis(95),
            Bound.atMost(SteadyStateMeasures.FIRST_TOKEN_MILLIS),
            Map.of("before", before.timeToFirstTokenMillis(95))),
        measure(
            "version-move-time-to-first-token-p95",
            "ms",
            move.timeToFirstTokenMillis(95),
            Bound.atMost(SteadyStateMeasures.FIRST_TOKEN_MILLIS),
            Map.of(
                "refused-for-any-reason",
                refused(move, EnumSet.allOf(RefusalReason.class)),
                "sent",
                (double) move.requests())),
        measure(
            "version-move-unmoved",
            "requests",
            unmoved(end - SteadyLoad.SECOND_MICROS, end),
            Bound.atMost(0),
            Map.of()),
        measure(
            "version-roll-unserved",
            "requests",
            refused(during, UNSERVED),
            Bound.atMost(0),
            Map.of(
                "refused-for-any-reason",
                refused(during, EnumSet.allOf(RefusalReason.class)),
                "sent",
                (double) during.requests())),
        measure(
            "version-roll-unsound-streams",
            "violations",
            FleetInvariants.violations(fleet, Set.of()).size(),
            Bound.atMost(0),
            Map.of()));
  }

  private void publish() {
    for (TeamSpec team : List.copyOf(fleet.teams().values())) {
      fleet.publish(team.withModelVersion(NEW_VERSION));
    }
  }

  private void watch(long untilMicros) {
    boolean isRolled =
        fleet.engines().values().stream().allMatch(one -> one.loaded().contains(NEW_VERSION));
    if (isRolled) {
      rolledMicros = OptionalLong.of(fleet.nowMicros());
    } else if (fleet.nowMicros() < untilMicros) {
      fleet.at(fleet.nowMicros() + WATCH_INTERVAL_MICROS, () -> watch(untilMicros));
    }
  }

  private double rollSeconds() {
    return rolledMicros.isPresent()
        ? (double) (rolledMicros.getAsLong() - rollMicros) / SteadyLoad.SECOND_MICROS
        : Double.POSITIVE_INFINITY;
  }

  /** Returns the requests from the first that ran on the new version to the last that did not. */
  private RunMetrics moveOf(RunMetrics all) {
    long first =
        all.chats().stream()
            .filter(chat -> hasRunOn(chat, NEW_VERSION))
            .mapToLong(ChatRecord::sentMicros)
            .min()
            .orElse(rollMicros);
    long last =
        all.chats().stream()
            .filter(chat -> hasRunOn(chat, Deployment.MODEL))
            .mapToLong(ChatRecord::sentMicros)
            .max()
            .orElse(rollMicros);
    return RunMetrics.of(fleet, first, Math.max(first, last) + SteadyLoad.SECOND_MICROS);
  }

  /** Returns how many requests sent within a time ran on the earlier version. */
  private double unmoved(long fromMicros, long untilMicros) {
    return RunMetrics.of(fleet, fromMicros, untilMicros).chats().stream()
        .filter(chat -> hasRunOn(chat, Deployment.MODEL))
        .count();
  }

  private boolean hasRunOn(ChatRecord chat, ModelVersion version) {
    return fleet.ledger().answers(chat.request()).stream()
        .anyMatch(answer -> answer.modelVersion().equals(version));
  }

  private static double refused(RunMetrics run, Set<RefusalReason> reasons) {
    return run.chats().stream()
        .map(ChatRecord::refusal)
        .filter(refusal -> refusal.isPresent() && reasons.contains(refusal.get().reason()))
        .count();
  }

  private Measure measure(
      String name, String unit, double figure, Bound bound, Map<String, Double> others) {
    return new Measure(name, deployment, unit, figure, bound, others);
  }
}
