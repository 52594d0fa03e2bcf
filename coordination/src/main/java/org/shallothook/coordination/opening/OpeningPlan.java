package org.shallothook.coordination.opening;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.shallothook.coordination.order.VersionAssignment;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.ConfigurationState;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.configuration.TeamTemplate;
import org.shallothook.state.configuration.TemplateParser;
import org.shallothook.state.configuration.TemplateVersion;

/**
 * Says which openings an engine is to compute while teams move to a new model version.
 *
 * <p>An opening falls to the home of its prompts under the earlier version, since only that one
 * knows from its cache whether it is in use.
 *
 * <p>Invariant: a function of configuration and engines alone, so that sidecars which know the same
 * divide the openings among them. Immutable and thread-safe.
 */
final class OpeningPlan {
  private final String self;
  private final int blockBytes;
  private final int versionsPerEngine;

  OpeningPlan(String self, int blockBytes, int versionsPerEngine) {
    this.self = self;
    this.blockBytes = blockBytes;
    this.versionsPerEngine = versionsPerEngine;
  }

  /** Returns the openings that fall to this engine. */
  List<Opening> openings(ConfigurationState configuration, Set<String> engines) {
    List<Opening> own = new ArrayList<>();
    Set<ModelVersion> inUse = VersionAssignment.versionsInUse(configuration);
    Set<ModelVersion> assigned = VersionAssignment.of(inUse, engines, versionsPerEngine, self);
    new TreeMap<>(configuration.allTeams())
        .forEach(
            (name, team) -> {
              List<ModelVersion> earlier = configuration.earlierVersions(name);
              if (!earlier.isEmpty() && assigned.contains(team.modelVersion())) {
                withTexts(configuration, name)
                    .ifPresent(whole -> addOwn(own, whole, earlier.get(0), engines));
              }
            });
    return own;
  }

  private static Optional<TeamTemplate> withTexts(ConfigurationState configuration, String name) {
    return configuration
        .version(name)
        .flatMap(TemplateVersion::source)
        .flatMap(source -> TemplateParser.parse(source).toJavaOptional());
  }

  private void addOwn(
      List<Opening> own, TeamTemplate team, ModelVersion earlier, Set<String> engines) {
    Set<String> texts = new LinkedHashSet<>(new TreeMap<>(team.tenants()).values());
    if (texts.isEmpty()) {
      texts.add("");
    }
    for (String text : texts) {
      Opening opening =
          new Opening(
              team.cacheIdentity(),
              new CacheIdentity(team.name(), earlier),
              OpeningText.of(team, text),
              blockBytes,
              team.priority() == PriorityClass.PRIORITY);
      if (!opening.keys().isEmpty() && isHome(opening, engines)) {
        own.add(opening);
      }
    }
  }

  private boolean isHome(Opening opening, Set<String> engines) {
    long ownWeight = RendezvousHash.weight(opening.earlierHash(), RendezvousHash.hashOf(self));
    return engines.stream()
        .mapToLong(
            name -> RendezvousHash.weight(opening.earlierHash(), RendezvousHash.hashOf(name)))
        .noneMatch(weight -> Long.compareUnsigned(weight, ownWeight) > 0);
  }
}
