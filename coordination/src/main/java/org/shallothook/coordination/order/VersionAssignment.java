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
 * Which engines are to have which model versions.
 *
 * <p>Every version in use goes to an equal share of the engines, chosen by rendezvous hashing on
 * the model's name, so that a new version goes where the old one is.
 *
 * <p>Invariant: a function of configuration and engines alone; every version in use is assigned
 * wherever there is an engine. Stateless and thread-safe.
 */
public final class VersionAssignment {
  private static final Comparator<ModelVersion> ORDER =
      Comparator.comparing(ModelVersion::model)
          .thenComparing(ModelVersion::adapter)
          .thenComparing(ModelVersion::version);

  private VersionAssignment() {}

  /** Returns the model versions that templates in force name, in a fixed order. */
  public static Set<ModelVersion> versionsInUse(ConfigurationState configuration) {
    Set<ModelVersion> versions = new TreeSet<>(ORDER);
    configuration.allTeams().values().stream()
        .map(TeamTemplate::modelVersion)
        .forEach(versions::add);
    return versions;
  }

  /**
   * Returns the versions that an engine is to have.
   *
   * @param versions versions in use
   * @param engines names of all engines
   * @param versionsPerEngine number of versions that an engine is to have at most
   * @param engine name of the engine
   */
  public static Set<ModelVersion> of(
      Set<ModelVersion> versions, Set<String> engines, int versionsPerEngine, String engine) {
    Set<ModelVersion> assigned = new TreeSet<>(ORDER);
    if (versions.size() <= versionsPerEngine) {
      assigned.addAll(versions);
      return assigned;
    }
    holders(versions, engines, versionsPerEngine)
        .forEach(
            (version, holders) -> {
              if (holders.contains(engine)) {
                assigned.add(version);
              }
            });
    return assigned;
  }

  /**
   * Returns the engines that are to have each version, the versions in a fixed order.
   *
   * @param versions versions in use
   * @param engines names of all engines
   * @param versionsPerEngine number of versions that an engine is to have at most
   */
  static Map<ModelVersion, Set<String>> holders(
      Set<ModelVersion> versions, Set<String> engines, int versionsPerEngine) {
    Map<ModelVersion, Set<String>> holders = new TreeMap<>(ORDER);
    if (versions.size() <= versionsPerEngine) {
      versions.forEach(version -> holders.put(version, engines));
      return holders;
    }
    Map<String, Integer> load = new HashMap<>();
    Set<ModelVersion> ordered = new TreeSet<>(ORDER);
    ordered.addAll(versions);
    int share = Math.max(1, engines.size() * versionsPerEngine / versions.size());
    for (ModelVersion version : ordered) {
      List<String> chosen = choose(version, engines, load, versionsPerEngine, share);
      chosen.forEach(name -> load.merge(name, 1, Integer::sum));
      holders.put(version, new HashSet<>(chosen));
    }
    return holders;
  }

  /** Engines with room come first; where none has, one takes more than its share. */
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
      boolean hasRoom = load.getOrDefault(name, 0) < versionsPerEngine;
      if (chosen.size() < share && (hasRoom || chosen.isEmpty())) {
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
