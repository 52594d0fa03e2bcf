package org.shallothook.coordination.order;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.ConfigurationState;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.configuration.TeamLimits;
import org.shallothook.state.configuration.TeamTemplate;
import org.shallothook.state.configuration.TemplateVersion;

/** Tests loading and unloading of model versions over a simulated fleet. */
final class EngineOrdersTest {
  private static final ModelVersion OLD = ModelVersion.of("m", "1");
  private static final ModelVersion NEW = ModelVersion.of("m", "2");
  private static final ModelVersion OTHER = ModelVersion.of("n", "1");
  private static final long SECOND_MICROS = 1_000_000;

  private static ConfigurationState configuration(long offset, ModelVersion... versions) {
    PMap<String, TeamTemplate> teams = HashTreePMap.empty();
    PMap<String, TemplateVersion> changes = HashTreePMap.empty();
    for (ModelVersion version : versions) {
      String name = "team-" + teams.size();
      teams =
          teams.plus(
              name,
              new TeamTemplate(
                  name,
                  "",
                  version,
                  "",
                  Map.of(),
                  PriorityClass.ORDINARY,
                  TeamLimits.DEFAULT,
                  Map.of()));
      changes = changes.plus(name, new TemplateVersion(offset, List.of("c"), Optional.of("")));
    }
    return new ConfigurationState(offset + 1, teams, changes);
  }

  private static void run(RolloutFleet fleet, long micros) {
    fleet.time.runUntil(fleet.time.now() + micros);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void newVersionIsLoadedTwoAtATimeWhileOldIsServed(long seed) {
    RolloutFleet fleet = new RolloutFleet(seed, 8, Set.of(OLD));
    fleet.configuration = configuration(1, OLD);
    run(fleet, 5 * SECOND_MICROS);
    fleet.configuration = configuration(2, NEW);
    long startMicros = fleet.time.now();
    while (!fleet.allHave(NEW)) {
      run(fleet, 50_000);
      assertThat(fleet.allHave(OLD)).isTrue();
      assertThat(fleet.time.now() - startMicros).isLessThan(30 * SECOND_MICROS);
    }
    System.out.println(
        "MEASURE rolling 8 engines, seed "
            + seed
            + ": micros "
            + (fleet.time.now() - startMicros)
            + ", loads at once "
            + fleet.maximumConcurrentLoads
            + ", lease records "
            + fleet.log.appends("leases"));
    assertThat(fleet.maximumConcurrentLoads).isAtMost(2);
    run(fleet, 60 * SECOND_MICROS);
    fleet.engines.forEach(engine -> assertThat(engine.ready).containsExactly(NEW));
  }

  @Test
  void versionInUseIsNeverUnloaded() {
    RolloutFleet fleet = new RolloutFleet(1, 4, Set.of(OLD, OTHER));
    fleet.configuration = configuration(1, NEW, OTHER);
    run(fleet, 120 * SECOND_MICROS);
    fleet.engines.forEach(engine -> assertThat(engine.ready).containsExactly(OTHER, NEW));
  }

  @Test
  void failingVersionDoesNotBlockOtherLoads() {
    RolloutFleet fleet = new RolloutFleet(1, 4, Set.of(OLD));
    fleet.missingWeights = ModelVersion.of("a", "9");
    fleet.configuration = configuration(1, OTHER, fleet.missingWeights);
    run(fleet, 90 * SECOND_MICROS);
    assertThat(fleet.allHave(OTHER)).isTrue();
    assertThat(fleet.allHave(OLD)).isTrue();
    int before = fleet.failedLoads;
    run(fleet, 600 * SECOND_MICROS);
    assertThat(fleet.failedLoads - before).isAtMost(24);
  }

  @Test
  void nothingIsLoadedOrUnloadedWithoutLease() {
    RolloutFleet fleet = new RolloutFleet(1, 4, Set.of(OLD));
    fleet.log.downUntilMicros = fleet.time.now() + 60 * SECOND_MICROS;
    fleet.configuration = configuration(1, NEW);
    run(fleet, 50 * SECOND_MICROS);
    fleet.engines.forEach(engine -> assertThat(engine.ready).containsExactly(OLD));
    run(fleet, 40 * SECOND_MICROS);
    assertThat(fleet.allHave(NEW)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void atMostTwoLoadsRunDespiteRestartsAndLostResponses(boolean checksFencing) {
    for (long seed = 0; seed < 200; seed++) {
      RolloutFleet fleet = new RolloutFleet(seed, 6, Set.of(OLD));
      fleet.checksFencing = checksFencing;
      fleet.log.lostAnswers = 0.2;
      fleet.log.lateAppends = 0.1;
      fleet.configuration = configuration(1, NEW);
      for (int i = 0; i < 5; i++) {
        fleet.time.schedule(
            fleet.random.nextLong(10 * SECOND_MICROS),
            () -> fleet.engines.get(fleet.random.nextInt(6)).restartSidecar());
      }
      run(fleet, 90 * SECOND_MICROS);
      assertWithMessage("seed %s", seed).that(fleet.maximumConcurrentLoads).isAtMost(2);
      assertWithMessage("seed %s", seed).that(fleet.allHave(NEW)).isTrue();
    }
  }

  @Test
  void everyVersionIsAssignedAndSharesAreEven() {
    Set<String> engines = Set.of("a", "b", "c", "d", "e", "f", "g", "h");
    Set<ModelVersion> versions = Set.of(OLD, OTHER, ModelVersion.of("o", "1"));
    for (ModelVersion version : versions) {
      long engineCount =
          engines.stream()
              .filter(e -> VersionAssignment.of(versions, engines, 1, e).contains(version))
              .count();
      assertThat(engineCount).isEqualTo(2);
    }
    assertThat(VersionAssignment.of(versions, Set.of("a"), 1, "a")).isEqualTo(versions);
  }
}
