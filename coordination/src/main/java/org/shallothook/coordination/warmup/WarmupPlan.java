package org.shallothook.coordination.warmup;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.shallothook.coordination.order.VersionAssignment;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.coordination.port.Counters;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.ConfigurationState;
import org.shallothook.state.configuration.TemplateVersion;

/**
 * Decides which tenant prefixes an engine computes while teams move to a new model version.
 *
 * <p>A prefix is computed by the home engine of its prompts under the earlier version, because only
 * that engine can tell from its cache whether the prefix is in use.
 *
 * <p>Invariant: the result depends only on the configuration and the engines, so sidecars with the
 * same view divide the prefixes among them without overlap. Prefixes are hashed once for each
 * change of a template. Not thread-safe: used on the decision thread.
 */
final class WarmupPlan {
  private final String self;
  private final int blockBytes;
  private final int versionsPerEngine;
  private final Counters counters;
  private final Map<String, TeamPrefixes> prefixesByTeam = new HashMap<>();

  WarmupPlan(String self, int blockBytes, int versionsPerEngine, Counters counters) {
    this.self = self;
    this.blockBytes = blockBytes;
    this.versionsPerEngine = versionsPerEngine;
    this.counters = counters;
  }

  /** Returns the prefixes that this engine is to compute. */
  List<TenantPrefix> homePrefixes(ConfigurationState configuration, Set<String> engines) {
    Set<String> teams = movingTeams(configuration, engines);
    prefixesByTeam.keySet().retainAll(teams);
    List<TenantPrefix> prefixes = new ArrayList<>();
    for (String team : teams) {
      prefixes.addAll(prefixesOf(team, configuration).homePrefixes(hash -> isHome(hash, engines)));
    }
    return prefixes;
  }

  /** Returns the teams that move to a version assigned to this engine. */
  private Set<String> movingTeams(ConfigurationState configuration, Set<String> engines) {
    Set<ModelVersion> inUse = VersionAssignment.versionsInUse(configuration);
    Set<ModelVersion> assigned = VersionAssignment.of(inUse, engines, versionsPerEngine, self);
    Set<String> teams = new TreeSet<>();
    configuration
        .allTeams()
        .forEach(
            (name, team) -> {
              boolean isMoving = !configuration.earlierVersions(name).isEmpty();
              if (isMoving && assigned.contains(team.modelVersion())) {
                teams.add(name);
              }
            });
    return teams;
  }

  private TeamPrefixes prefixesOf(String team, ConfigurationState configuration) {
    TemplateVersion version = configuration.version(team).orElseThrow();
    TeamPrefixes known = prefixesByTeam.get(team);
    if (known != null && known.isOfVersion(version)) {
      return known;
    }
    counters.increment("openings.ranked");
    ModelVersion earlier = configuration.earlierVersions(team).get(0);
    TeamPrefixes created = new TeamPrefixes(version, earlier, blockBytes);
    prefixesByTeam.put(team, created);
    return created;
  }

  private boolean isHome(long hash, Set<String> engines) {
    long ownWeight = RendezvousHash.weight(hash, RendezvousHash.hashOf(self));
    return engines.stream()
        .mapToLong(name -> RendezvousHash.weight(hash, RendezvousHash.hashOf(name)))
        .noneMatch(weight -> Long.compareUnsigned(weight, ownWeight) > 0);
  }
}
