package org.shallothook.benchmarks.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.shallothook.benchmarks.virtual.TeamSpec;
import org.shallothook.benchmarks.virtual.VirtualFleet;
import org.shallothook.benchmarks.virtual.VirtualProcess;
import org.shallothook.benchmarks.virtual.VirtualRouter;
import org.shallothook.benchmarks.virtual.VirtualSidecar;
import org.shallothook.benchmarks.workload.Deployment;
import org.shallothook.coordination.configuration.ChangeRequest;
import org.shallothook.coordination.configuration.PublicationResult;
import org.shallothook.standins.log.LogSettings;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.ChangeVerdict;
import org.shallothook.state.configuration.ConfigurationLog;
import org.shallothook.state.configuration.HistoryEntry;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.configuration.TemplateVersion;

/**
 * Seeded histories of operators who race through different routers while answers of the log are
 * lost, processes restart, the log is down and its records expire.
 *
 * <p>Not thread-safe.
 */
final class ConfigurationHistories {
  private static final int ENGINES = 2;
  private static final int TEAMS = 3;
  private static final int ACTIONS = 24;
  private static final long RETENTION_MICROS = 12 * SteadyLoad.SECOND_MICROS;
  private static final long BUSY_MICROS = 24 * SteadyLoad.SECOND_MICROS;
  private static final long SETTLE_MICROS = 12 * SteadyLoad.SECOND_MICROS;
  private static final long LONGEST_OUTAGE_MICROS = 5 * SteadyLoad.SECOND_MICROS;
  private static final long LONGEST_DOWN_MICROS = SteadyLoad.SECOND_MICROS;
  private static final long WATCH_INTERVAL_MICROS = 100_000;
  private static final int PAGE_RECORDS = 1_000;

  private final Deployment deployment;
  private final long seed;
  private final int histories;
  private final Map<String, Double> results = new HashMap<>();
  private int reversions;
  private int otherStates;

  ConfigurationHistories(Deployment deployment, long seed, int histories) {
    this.deployment = deployment;
    this.seed = seed;
    this.histories = histories;
  }

  List<Measure> measures() {
    for (int history = 0; history < histories; history++) {
      new History(seed * 1_000_003 + history).run();
    }
    results.put("histories", (double) histories);
    return List.of(
        new Measure(
            "configuration-reversions",
            deployment,
            "processes",
            reversions,
            Bound.atMost(0),
            results),
        new Measure(
            "configuration-states-unlike-the-log",
            deployment,
            "processes and answers",
            otherStates,
            Bound.atMost(0),
            Map.of()));
  }

  private static TeamSpec team(int number, int version) {
    return new TeamSpec(
        "team-" + number,
        ModelVersion.of("m", "v" + version),
        PriorityClass.ORDINARY,
        "",
        Map.of(),
        "",
        false);
  }

  private final class History {
    private final SplittableRandom random;
    private final VirtualFleet fleet;
    private final ConfigurationLog truth = new ConfigurationLog();
    private final Map<String, Long> highest = new HashMap<>();
    private final List<PublicationResult.Accepted> accepted = new ArrayList<>();
    private int changes;

    History(long historySeed) {
      random = new SplittableRandom(historySeed);
      fleet =
          deployment
              .places(historySeed)
              .engines(ENGINES)
              .withoutStore()
              .logSettings(
                  new LogSettings(
                      LogSettings.DEFAULT.retainedRecords(),
                      RETENTION_MICROS,
                      LogSettings.DEFAULT.appendsPerSecond()))
              .routerOptions(options -> options.logRetentionMicros(RETENTION_MICROS))
              .team(team(0, 0))
              .build();
    }

    void run() {
      long start = VirtualFleet.START_MICROS;
      for (int action = 0; action < ACTIONS; action++) {
        fleet.at(start + random.nextLong(BUSY_MICROS), this::act);
      }
      fleet.at(start, this::watch);
      fleet.runUntil(start + BUSY_MICROS);
      fleet.platform().log().disturbances().clear();
      fleet.runUntil(start + BUSY_MICROS + SETTLE_MICROS);
      checkEnd();
    }

    private void act() {
      int kind = random.nextInt(12);
      if (kind < 7) {
        publish();
      } else if (kind == 7) {
        fleet.restart(router(), random.nextLong(LONGEST_DOWN_MICROS));
      } else if (kind == 8) {
        VirtualSidecar sidecar = fleet.sidecar("engine-" + (1 + random.nextInt(ENGINES)));
        fleet.restart(sidecar, random.nextLong(LONGEST_DOWN_MICROS));
      } else if (kind == 9) {
        long until = fleet.nowMicros() + random.nextLong(LONGEST_OUTAGE_MICROS);
        fleet.platform().log().disturbances().setOutageUntil(until);
      } else if (kind == 10) {
        fleet.platform().log().disturbances().dropResponses(1 + random.nextInt(3));
      } else {
        fleet.platform().log().disturbances().dropRequests(1 + random.nextInt(3));
      }
    }

    private void publish() {
      TeamSpec team = team(random.nextInt(TEAMS), random.nextInt(4));
      boolean isRemoval = random.nextInt(6) == 0;
      ChangeRequest change =
          new ChangeRequest(
              "change-" + changes++,
              team.name(),
              isRemoval ? Optional.empty() : Optional.of(team.template()),
              Optional.empty());
      int publishers = 1 + random.nextInt(2);
      for (int publisher = 0; publisher < publishers; publisher++) {
        fleet.publish(router(), change, this::onEnd);
      }
    }

    private void onEnd(PublicationResult result) {
      results.merge(result.getClass().getSimpleName().toLowerCase(Locale.ROOT), 1.0, Double::sum);
      if (result instanceof PublicationResult.Accepted told) {
        accepted.add(told);
      }
    }

    private VirtualRouter router() {
      List<VirtualRouter> all = List.copyOf(fleet.routers());
      return all.get(random.nextInt(all.size()));
    }

    private void watch() {
      fleet
          .platform()
          .log()
          .read("configuration", truth.nextOffset(), PAGE_RECORDS, fleet.nowMicros())
          .ifPresent(page -> truth.apply(page.firstRetained(), page.records()));
      fleet.routers().forEach(one -> note(one, one.core().status().configurationOffset()));
      fleet.sidecars().forEach(one -> note(one, one.core().configurationOffset()));
      fleet.at(fleet.nowMicros() + WATCH_INTERVAL_MICROS, this::watch);
    }

    private void note(VirtualProcess process, long offset) {
      String key = process.name() + "/" + process.incarnation();
      if (process.isUp()) {
        reversions += offset < highest.getOrDefault(key, 0L) ? 1 : 0;
        highest.merge(key, offset, Math::max);
      }
    }

    private void checkEnd() {
      for (VirtualRouter router : fleet.routers()) {
        for (int team = 0; team < TEAMS; team++) {
          String name = team(team, 0).name();
          Optional<String> expected = truth.state().version(name).flatMap(TemplateVersion::source);
          otherStates += router.core().templateSource(name).equals(expected) ? 0 : 1;
        }
      }
      for (VirtualSidecar sidecar : fleet.sidecars()) {
        long expected = truth.state().effectiveOffset();
        otherStates += sidecar.core().configurationOffset() == expected ? 0 : 1;
      }
      List<Long> offsets =
          truth.history().stream()
              .filter(entry -> entry.verdict() == ChangeVerdict.ACCEPTED)
              .map(HistoryEntry::offset)
              .toList();
      for (PublicationResult.Accepted told : accepted) {
        otherStates += offsets.contains(told.offset()) ? 0 : 1;
      }
    }
  }
}
