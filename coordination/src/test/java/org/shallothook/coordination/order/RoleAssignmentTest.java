package org.shallothook.coordination.order;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.ConfigurationState;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.configuration.TeamLimits;
import org.shallothook.state.configuration.TeamTemplate;

/** Tests which engines are reserved for priority work. */
final class RoleAssignmentTest {
  private static final ModelVersion MODEL = ModelVersion.of("m", "1");

  private static TeamTemplate team(int number, ModelVersion version, int priorityEngines) {
    return new TeamTemplate(
        "team-" + number,
        "",
        version,
        "",
        Map.of(),
        priorityEngines > 0 ? PriorityClass.PRIORITY : PriorityClass.ORDINARY,
        TeamLimits.DEFAULT,
        Map.of(),
        priorityEngines);
  }

  private static ConfigurationState configuration(List<TeamTemplate> templates) {
    PMap<String, TeamTemplate> teams = HashTreePMap.empty();
    for (TeamTemplate template : templates) {
      teams = teams.plus(template.name(), template);
    }
    return new ConfigurationState(1, teams);
  }

  private static Map<String, String> engines(int count, int regionCount) {
    Map<String, String> engines = new HashMap<>();
    for (int engine = 0; engine < count; engine++) {
      engines.put("engine-" + engine, "region-" + engine % regionCount);
    }
    return engines;
  }

  @ParameterizedTest
  @CsvSource({
    "8, 1, 0, 0, 0",
    "8, 1, 1, 0, 1",
    "8, 1, 2, 1, 2",
    "8, 1, 2, 3, 3",
    "8, 2, 1, 0, 2",
    "1, 1, 1, 0, 0",
    "2, 1, 9, 0, 1",
    "0, 1, 1, 0, 0"
  })
  void reservesLargestNumberOfAnyTeamInEachRegion(
      int engines, int regions, int first, int second, int expected) {
    ConfigurationState configuration =
        configuration(List.of(team(1, MODEL, first), team(2, MODEL, second), team(3, MODEL, 0)));
    assertThat(RoleAssignment.priorityEngines(configuration, engines(engines, regions), 4))
        .hasSize(expected);
  }

  @Test
  void removedEngineChangesRoleOfAtMostOneOther() {
    ConfigurationState configuration = configuration(List.of(team(1, MODEL, 2)));
    Map<String, String> engines = engines(8, 1);
    Set<String> before = RoleAssignment.priorityEngines(configuration, engines, 4);
    for (String removed : List.copyOf(engines.keySet())) {
      Map<String, String> remaining = new HashMap<>(engines);
      remaining.remove(removed);
      Set<String> changed =
          new HashSet<>(RoleAssignment.priorityEngines(configuration, remaining, 4));
      changed.removeAll(before);
      assertThat(changed.size()).isEqualTo(before.contains(removed) ? 1 : 0);
    }
  }

  @Test
  void everyModelKeepsAnEngineForOrdinaryWork() {
    for (long seed = 0; seed < 500; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      List<TeamTemplate> teams = new ArrayList<>();
      for (int number = 0; number < 1 + random.nextInt(8); number++) {
        ModelVersion version = ModelVersion.of("m" + random.nextInt(5), "1");
        teams.add(team(number, version, random.nextInt(6)));
      }
      ConfigurationState configuration = configuration(teams);
      Map<String, String> engines = engines(1 + random.nextInt(12), 1 + random.nextInt(3));
      int perEngine = 1 + random.nextInt(4);
      Set<String> reserved = RoleAssignment.priorityEngines(configuration, engines, perEngine);
      VersionAssignment.enginesByVersion(
              VersionAssignment.versionsInUse(configuration), engines.keySet(), perEngine)
          .forEach(
              (version, assignedEngines) -> {
                Set<String> ordinaryRegions = new HashSet<>();
                Set<String> regions = new HashSet<>();
                for (String engine : assignedEngines) {
                  regions.add(engines.get(engine));
                  if (!reserved.contains(engine)) {
                    ordinaryRegions.add(engines.get(engine));
                  }
                }
                assertWithMessage("%s", teams).that(ordinaryRegions).isEqualTo(regions);
              });
    }
  }
}
