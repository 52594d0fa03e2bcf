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
 * Which engines are kept free for priority work.
 *
 * <p>In each region, as many engines of a model as any team of it names, chosen by rendezvous
 * hashing on the model's name, so that few engines change when some come or go.
 *
 * <p>Invariant: a function of configuration and engines alone; of the engines that are to have a
 * version, one in each region is left to ordinary work. Stateless and thread-safe.
 */
public final class RoleAssignment {
  private RoleAssignment() {}

  /**
   * Returns the names of the engines that are to have the role for priority work.
   *
   * @param configuration configuration in force
   * @param regions region of each engine, by its name
   * @param versionsPerEngine number of versions that an engine is to have at most
   */
  public static Set<String> priorityEngines(
      ConfigurationState configuration, Map<String, String> regions, int versionsPerEngine) {
    Set<String> chosen = new HashSet<>();
    if (configuration.allTeams().values().stream().allMatch(team -> team.priorityEngines() == 0)) {
      return chosen;
    }
    Map<ModelVersion, Set<String>> holders =
        VersionAssignment.holders(
            VersionAssignment.versionsInUse(configuration), regions.keySet(), versionsPerEngine);
    Set<String> names = new HashSet<>(regions.values());
    holders.forEach(
        (version, engines) -> {
          int count = priorityEnginesOf(version, configuration);
          names.forEach(
              region ->
                  choose(
                      version,
                      inRegion(engines, region, regions),
                      count,
                      holders,
                      regions,
                      chosen));
        });
    return chosen;
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

  private static void choose(
      ModelVersion version,
      List<String> engines,
      int count,
      Map<ModelVersion, Set<String>> holders,
      Map<String, String> regions,
      Set<String> chosen) {
    List<String> ranked = new ArrayList<>(engines);
    ranked.sort(
        Comparator.comparingLong((String engine) -> weight(version, engine))
            .thenComparing(engine -> engine));
    int taken = 0;
    for (String engine : ranked) {
      if (taken < count && (chosen.contains(engine) || isSpare(engine, holders, regions, chosen))) {
        chosen.add(engine);
        taken++;
      }
    }
  }

  /** Returns whether every version of an engine keeps another one for ordinary work. */
  private static boolean isSpare(
      String engine,
      Map<ModelVersion, Set<String>> holders,
      Map<String, String> regions,
      Set<String> chosen) {
    return holders.values().stream()
        .filter(engines -> engines.contains(engine))
        .allMatch(
            engines ->
                inRegion(engines, regions.get(engine), regions).stream()
                    .anyMatch(other -> !other.equals(engine) && !chosen.contains(other)));
  }

  private static long weight(ModelVersion version, String engine) {
    return LongHashFunction.xx3()
        .hashChars("priority/" + version.model() + '/' + version.adapter() + '/' + engine);
  }
}
