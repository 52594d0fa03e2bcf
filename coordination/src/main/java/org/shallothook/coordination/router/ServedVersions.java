package org.shallothook.coordination.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Optional;
import org.shallothook.coordination.membership.UpstreamDirectory;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.coordination.port.Counters;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.ConfigurationState;
import org.shallothook.state.configuration.TeamTemplate;

/**
 * Chooses the model version for a team's new requests while a new version is rolled out.
 *
 * <p>Conversations migrate to the template's version once every engine has loaded it and has
 * prefilled its shared prefixes. They migrate team by team, and gradually within a team, so that
 * the engines' caches and the spreading of new prefixes can keep up. If some engines are still not
 * ready after {@link #ENGINE_WAIT_MICROS}, the share of conversations that use the new version is
 * limited to the share of engines that have it. The other conversations use the version that the
 * template named before. That version is part of the configuration, so that a router that has just
 * started makes the same choice as the others. Migration progress is measured from the time at
 * which the sidecars report that the version was ready, so that all routers are at the same point.
 *
 * <p>Invariant: once a conversation has migrated to a version, it is not served with an earlier
 * version of its team again. Not thread-safe.
 */
final class ServedVersions {
  /** Maximum wait for the last engine after the first one has loaded a version, in microseconds. */
  static final long ENGINE_WAIT_MICROS = 20_000_000;

  /** Duration of the migration of all conversations, in microseconds. */
  static final long MIGRATION_MICROS = 24_000_000;

  /** Fraction of that duration over which the conversations of one team migrate. */
  private static final double TEAM_FRACTION = 0.3;

  private static final int FRACTION_BITS = 53;

  private final UpstreamDirectory directory;
  private final Counters counters;
  private final Map<String, Map<ModelVersion, Double>> maximumShares = new HashMap<>();

  ServedVersions(UpstreamDirectory directory, Counters counters) {
    this.directory = directory;
    this.counters = counters;
  }

  /**
   * Returns the version for a new request of a team.
   *
   * @param tenant tenant of the request
   * @param messages conversation; the first user message determines its position in the migration
   *     order
   */
  ModelVersion versionFor(
      TeamTemplate team,
      ConfigurationState configuration,
      Optional<String> tenant,
      List<ChatMessage> messages,
      long nowMicros) {
    ModelVersion desired = team.modelVersion();
    List<ModelVersion> candidates = new ArrayList<>();
    candidates.add(desired);
    candidates.addAll(configuration.earlierVersions(team.name()));
    if (candidates.size() == 1) {
      maximumShares.remove(team.name());
      return desired;
    }
    double position = positionOf(team.name() + '/' + tenant.orElse(""), messages);
    double startFraction = startFractionOf(team, configuration);
    ModelVersion chosen = choose(team.name(), candidates, position, startFraction, nowMicros);
    if (!chosen.equals(desired)) {
      counters.increment("versions.earlier-served");
    }
    return chosen;
  }

  private ModelVersion choose(
      String team,
      List<ModelVersion> candidates,
      double position,
      double startFraction,
      long nowMicros) {
    Map<ModelVersion, Double> maximum =
        maximumShares.computeIfAbsent(team, name -> new HashMap<>());
    maximum.keySet().retainAll(candidates);
    for (int index = 0; index < candidates.size(); index++) {
      ModelVersion candidate = candidates.get(index);
      List<ModelVersion> older = candidates.subList(index + 1, candidates.size());
      double share = usableShare(candidate, older, startFraction, nowMicros);
      if (position < maximum.merge(candidate, share, Math::max)) {
        return candidate;
      }
    }
    return candidates.get(0);
  }

  /**
   * Returns the share of a team's conversations that may use a version. It is 0 while some engines
   * are still loading the version or prefilling its shared prefixes, and grows from the team's
   * start of migration up to the share of engines that have the version. If some engine lacks the
   * previous version, the migration is not delayed.
   */
  private double usableShare(
      ModelVersion candidate, List<ModelVersion> older, double startFraction, long nowMicros) {
    double ready = directory.readyShare(candidate, older, nowMicros);
    if (ready == 0 || older.isEmpty() || !isReadyEverywhere(older.get(0), candidate, nowMicros)) {
      return ready;
    }
    LongSummaryStatistics since = directory.readySinceMicros(candidate, nowMicros);
    long waitEndMicros = since.getMin() + ENGINE_WAIT_MICROS;
    if (ready < 1 && nowMicros < waitEndMicros) {
      return 0;
    }
    long startMicros = ready < 1 ? waitEndMicros : Math.min(since.getMax(), waitEndMicros);
    double progress = Math.min(1, (double) (nowMicros - startMicros) / MIGRATION_MICROS);
    double share = (progress - startFraction * (1 - TEAM_FRACTION)) / TEAM_FRACTION;
    return Math.max(0, Math.min(ready, share));
  }

  /**
   * Returns the relative start of a team's migration, from 0 for the first team to 1 for the last.
   */
  private static double startFractionOf(TeamTemplate team, ConfigurationState configuration) {
    int preceding = 0;
    int total = 0;
    for (TeamTemplate other : configuration.allTeams().values()) {
      boolean isMigrating =
          other.modelVersion().equals(team.modelVersion())
              && !configuration.earlierVersions(other.name()).isEmpty();
      total += isMigrating ? 1 : 0;
      preceding += isMigrating && other.name().compareTo(team.name()) < 0 ? 1 : 0;
    }
    return total < 2 ? 0 : (double) preceding / (total - 1);
  }

  private boolean isReadyEverywhere(ModelVersion version, ModelVersion other, long nowMicros) {
    return directory.readyShare(version, List.of(other), nowMicros) == 1;
  }

  /**
   * Returns the position of a conversation in the migration order, from 0 inclusive to 1 exclusive.
   */
  private static double positionOf(String scope, List<ChatMessage> messages) {
    String firstMessage =
        messages.stream()
            .filter(message -> message.role().equals("user"))
            .findFirst()
            .map(ChatMessage::content)
            .orElse("");
    long hash =
        RendezvousHash.combine(RendezvousHash.hashOf(scope), RendezvousHash.hashOf(firstMessage));
    return (hash >>> (Long.SIZE - FRACTION_BITS)) * 0x1.0p-53;
  }
}
