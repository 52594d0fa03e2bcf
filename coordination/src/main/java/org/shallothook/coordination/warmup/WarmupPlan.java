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
 * Says which openings an engine is to compute while teams move to a new model version.
 *
 * <p>An opening falls to the home of its prompts under the earlier version, since only that one
 * knows from its cache whether it is in use.
 *
 * <p>Invariant: a function of configuration and engines alone, so that sidecars which know the same
 * divide the openings among them; each change of a template is ranked once. Not thread-safe: used
 * on the decision thread.
 */
final class WarmupPlan {
  private final String self;
  private final int blockBytes;
  private final int versionsPerEngine;
  private final Counters counters;
  private final Map<String, TeamPrefixes> moving = new HashMap<>();

  WarmupPlan(String self, int blockBytes, int versionsPerEngine, Counters counters) {
    this.self = self;
    this.blockBytes = blockBytes;
    this.versionsPerEngine = versionsPerEngine;
    this.counters = counters;
  }

  /** Returns the openings that fall to this engine. */
  List<TenantPrefix> openings(ConfigurationState configuration, Set<String> engines) {
    Set<String> teams = movingTeams(configuration, engines);
    moving.keySet().retainAll(teams);
    List<TenantPrefix> own = new ArrayList<>();
    for (String team : teams) {
      own.addAll(openingsOf(team, configuration).own(hash -> isHome(hash, engines)));
    }
    return own;
  }

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

  private TeamPrefixes openingsOf(String team, ConfigurationState configuration) {
    TemplateVersion version = configuration.version(team).orElseThrow();
    TeamPrefixes known = moving.get(team);
    if (known != null && known.isOf(version)) {
      return known;
    }
    counters.increment("openings.ranked");
    ModelVersion earlier = configuration.earlierVersions(team).get(0);
    TeamPrefixes ranked = new TeamPrefixes(version, earlier, blockBytes);
    moving.put(team, ranked);
    return ranked;
  }

  private boolean isHome(long hash, Set<String> engines) {
    long ownWeight = RendezvousHash.weight(hash, RendezvousHash.hashOf(self));
    return engines.stream()
        .mapToLong(name -> RendezvousHash.weight(hash, RendezvousHash.hashOf(name)))
        .noneMatch(weight -> Long.compareUnsigned(weight, ownWeight) > 0);
  }
}
