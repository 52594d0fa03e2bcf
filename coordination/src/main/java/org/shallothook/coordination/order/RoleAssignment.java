package org.shallothook.coordination.order;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.ConfigurationState;
import org.shallothook.state.configuration.TeamTemplate;

/**
 * Selects the engines that are reserved for priority work.
 *
 * <p>For each model, every region reserves the largest number of engines that any team of the model
 * configures. Engines are chosen by rendezvous hashing on the model's name, so that few assignments
 * change when engines join or leave.
 *
 * <p>Invariant: the result depends only on the configuration and the engines. Of the engines
 * assigned to a version, at least one in each region is left for ordinary work. Stateless and
 * thread-safe.
 */
public final class RoleAssignment {
  private RoleAssignment() {}

  /**
   * Returns the names of the engines that are to have the priority role.
   *
   * @param configuration configuration in force
   * @param regions region of each engine, by its name
   * @param versionsPerEngine maximum number of versions assigned to an engine
   */
  public static Set<String> priorityEngines(
      ConfigurationState configuration, Map<String, String> regions, int versionsPerEngine) {
    Set<String> reserved = new HashSet<>();
    if (configuration.allTeams().values().stream().allMatch(team -> team.priorityEngines() == 0)) {
      return reserved;
    }
    Map<ModelVersion, Set<String>> enginesByVersion =
        VersionAssignment.enginesByVersion(
            VersionAssignment.versionsInUse(configuration), regions.keySet(), versionsPerEngine);
    Set<String> regionNames = new HashSet<>(regions.values());
    enginesByVersion.forEach(
        (version, engines) -> {
          int count = priorityEnginesOf(version, configuration);
          regionNames.forEach(
              region ->
                  reserve(
                      version,
                      inRegion(engines, region, regions),
                      count,
                      enginesByVersion,
                      regions,
                      reserved));
        });
    return reserved;
  }

  private static int priorityEnginesOf(ModelVersion version, ConfigurationState configuration) {
    return configuration.allTeams().values().stream()
        .filter(team -> team.modelVersion().equals(version))
        .mapToInt(TeamTemplate::priorityEngines)
        .max()
        .orElse(0);
  }

  private static List<String> inRegion(
      Set<String> engines, String region, Map<String, String> regions) {
    return engines.stream().filter(engine -> regions.get(engine).equals(region)).toList();
  }

  private static void reserve(
      ModelVersion version,
      List<String> engines,
      int count,
      Map<ModelVersion, Set<String>> enginesByVersion,
      Map<String, String> regions,
      Set<String> reserved) {
    List<String> ranked = new ArrayList<>(engines);
    ranked.sort(
        Comparator.comparingLong((String engine) -> weight(version, engine))
            .thenComparing(engine -> engine));
    int reservedCount = 0;
    for (String engine : ranked) {
      if (reservedCount < count
          && (reserved.contains(engine)
              || canBeReserved(engine, enginesByVersion, regions, reserved))) {
        reserved.add(engine);
        reservedCount++;
      }
    }
  }

  /**
   * Returns whether every version of the engine still has another unreserved engine in its region.
   */
  private static boolean canBeReserved(
      String engine,
      Map<ModelVersion, Set<String>> enginesByVersion,
      Map<String, String> regions,
      Set<String> reserved) {
    return enginesByVersion.values().stream()
        .filter(engines -> engines.contains(engine))
        .allMatch(
            engines ->
                inRegion(engines, regions.get(engine), regions).stream()
                    .anyMatch(other -> !other.equals(engine) && !reserved.contains(other)));
  }

  private static long weight(ModelVersion version, String engine) {
    return LongHashFunction.xx3()
        .hashChars("priority/" + version.model() + '/' + version.adapter() + '/' + engine);
  }
}
