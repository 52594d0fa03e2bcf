package org.shallothook.coordination.order;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import net.openhft.hashing.LongHashFunction;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.ConfigurationState;
import org.shallothook.state.configuration.TeamTemplate;

/**
 * Assigns model versions to engines.
 *
 * <p>Every version in use is assigned to an equal share of the engines, chosen by rendezvous
 * hashing on the model's name, so that a new version is placed on the engines that have the old
 * one.
 *
 * <p>Invariant: the result depends only on the configuration and the engines. Every version in use
 * is assigned to at least one engine if there is any. Stateless and thread-safe.
 */
public final class VersionAssignment {
  private static final Comparator<ModelVersion> ORDER =
      Comparator.comparing(ModelVersion::model)
          .thenComparing(ModelVersion::adapter)
          .thenComparing(ModelVersion::version);

  private VersionAssignment() {}

  /** Returns the model versions used by the templates in force, in a fixed order. */
  public static Set<ModelVersion> versionsInUse(ConfigurationState configuration) {
    Set<ModelVersion> versions = new TreeSet<>(ORDER);
    configuration.allTeams().values().stream()
        .map(TeamTemplate::modelVersion)
        .forEach(versions::add);
    return versions;
  }

  /**
   * Returns the versions assigned to an engine, in a fixed order.
   *
   * @param versions versions in use
   * @param engines names of all engines
   * @param versionsPerEngine maximum number of versions assigned to an engine
   * @param engine name of the engine
   */
  public static Set<ModelVersion> of(
      Set<ModelVersion> versions, Set<String> engines, int versionsPerEngine, String engine) {
    Set<ModelVersion> assigned = new TreeSet<>(ORDER);
    if (versions.size() <= versionsPerEngine) {
      assigned.addAll(versions);
      return assigned;
    }
    enginesByVersion(versions, engines, versionsPerEngine)
        .forEach(
            (version, assignedEngines) -> {
              if (assignedEngines.contains(engine)) {
                assigned.add(version);
              }
            });
    return assigned;
  }

  /**
   * Returns the engines assigned to each version. The versions are in a fixed order.
   *
   * @param versions versions in use
   * @param engines names of all engines
   * @param versionsPerEngine maximum number of versions assigned to an engine
   */
  static Map<ModelVersion, Set<String>> enginesByVersion(
      Set<ModelVersion> versions, Set<String> engines, int versionsPerEngine) {
    Map<ModelVersion, Set<String>> enginesByVersion = new TreeMap<>(ORDER);
    if (versions.size() <= versionsPerEngine) {
      versions.forEach(version -> enginesByVersion.put(version, engines));
      return enginesByVersion;
    }
    Map<String, Integer> load = new HashMap<>();
    Set<ModelVersion> ordered = new TreeSet<>(ORDER);
    ordered.addAll(versions);
    int share = Math.max(1, engines.size() * versionsPerEngine / versions.size());
    for (ModelVersion version : ordered) {
      List<String> chosen = choose(version, engines, load, versionsPerEngine, share);
      chosen.forEach(name -> load.merge(name, 1, Integer::sum));
      enginesByVersion.put(version, new HashSet<>(chosen));
    }
    return enginesByVersion;
  }

  /**
   * Chooses engines with free capacity first. If there is none, one engine is chosen beyond its
   * limit, so that every version is assigned.
   */
  private static List<String> choose(
      ModelVersion version,
      Set<String> engines,
      Map<String, Integer> load,
      int versionsPerEngine,
      int share) {
    List<String> ranked = new ArrayList<>(engines);
    ranked.sort(
        Comparator.comparing((String name) -> load.getOrDefault(name, 0) >= versionsPerEngine)
            .thenComparingLong(name -> weight(version, name))
            .thenComparing(name -> name));
    List<String> chosen = new ArrayList<>();
    for (String name : ranked) {
      boolean hasCapacity = load.getOrDefault(name, 0) < versionsPerEngine;
      if (chosen.size() < share && (hasCapacity || chosen.isEmpty())) {
        chosen.add(name);
      }
    }
    return chosen;
  }

  private static long weight(ModelVersion version, String engine) {
    return LongHashFunction.xx3()
        .hashChars(version.model() + '/' + version.adapter() + '/' + engine);
  }
}
