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
 * Chooses the model version that a team's new requests run on while a new one is being loaded.
 *
 * <p>Conversations move to the version of the template once every engine has it and has computed
 * its openings: team after team, and the conversations of a team little by little, so that the
 * engines' caches and the spread of new prefixes can follow. After a deadline they move in step
 * with the engines: the share of conversations that use it is the share of engines that have it.
 * The others use the version that the template named before, as the configuration remembers it, so
 * that a router which has just started chooses as the others do. The move counts from when the
 * sidecars say that the version was ready, so that all routers are equally far.
 *
 * <p>Invariant: once a conversation was moved to a version, it is not served with an earlier one of
 * its team again. Not thread-safe.
 */
final class ServedVersions {
  /** Longest wait for the last engine after the first has a version, in microseconds. */
  static final long ENGINE_WAIT_MICROS = 20_000_000;

  /** Time over which the conversations move, in microseconds. */
  static final long MIGRATION_MICROS = 24_000_000;

  /** Part of that time in which the conversations of one team move. */
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
   * @param messages conversation; its opening tells which conversations move first
   */
  ModelVersion versionFor(
      TeamTemplate team,
      ConfigurationState configuration,
      Optional<String> tenant,
      List<ChatMessage> messages,
      long nowMicros) {
    ModelVersion wanted = team.modelVersion();
    List<ModelVersion> candidates = new ArrayList<>();
    candidates.add(wanted);
    candidates.addAll(configuration.earlierVersions(team.name()));
    if (candidates.size() == 1) {
      maximumShares.remove(team.name());
      return wanted;
    }
    double fraction = positionOf(team.name() + '/' + tenant.orElse(""), messages);
    double turn = startFractionOf(team, configuration);
    ModelVersion chosen = choose(team.name(), candidates, fraction, turn, nowMicros);
    if (!chosen.equals(wanted)) {
      counters.increment("versions.earlier-served");
    }
    return chosen;
  }

  private ModelVersion choose(
      String team, List<ModelVersion> candidates, double fraction, double turn, long nowMicros) {
    Map<ModelVersion, Double> greatest =
        maximumShares.computeIfAbsent(team, name -> new HashMap<>());
    greatest.keySet().retainAll(candidates);
    for (int index = 0; index < candidates.size(); index++) {
      ModelVersion candidate = candidates.get(index);
      List<ModelVersion> older = candidates.subList(index + 1, candidates.size());
      double share = usableShare(candidate, older, turn, nowMicros);
      if (fraction < greatest.merge(candidate, share, Math::max)) {
        return candidate;
      }
    }
    return candidates.get(0);
  }

  /**
   * Returns the share of a team's conversations that may use a version: none while some engines are
   * loading it or computing its openings, then more and more from the team's turn on, up to the
   * share of engines that have it. Where an engine lacks the version before, nothing is delayed.
   */
  private double usableShare(
      ModelVersion candidate, List<ModelVersion> older, double turn, long nowMicros) {
    double ready = directory.readyShare(candidate, older, nowMicros);
    if (ready == 0 || older.isEmpty() || !isReadyEverywhere(older.get(0), candidate, nowMicros)) {
      return ready;
    }
    LongSummaryStatistics since = directory.readySinceMicros(candidate, nowMicros);
    long awaitedUntil = since.getMin() + ENGINE_WAIT_MICROS;
    if (ready < 1 && nowMicros < awaitedUntil) {
      return 0;
    }
    long begin = ready < 1 ? awaitedUntil : Math.min(since.getMax(), awaitedUntil);
    double progress = Math.min(1, (double) (nowMicros - begin) / MIGRATION_MICROS);
    double share = (progress - turn * (1 - TEAM_FRACTION)) / TEAM_FRACTION;
    return Math.max(0, Math.min(ready, share));
  }

  /** Returns when a team's turn to move begins, from 0 for the first to below 1 for the last. */
  private static double startFractionOf(TeamTemplate team, ConfigurationState configuration) {
    int before = 0;
    int all = 0;
    for (TeamTemplate other : configuration.allTeams().values()) {
      boolean moves =
          other.modelVersion().equals(team.modelVersion())
              && !configuration.earlierVersions(other.name()).isEmpty();
      all += moves ? 1 : 0;
      before += moves && other.name().compareTo(team.name()) < 0 ? 1 : 0;
    }
    return all < 2 ? 0 : (double) before / (all - 1);
  }

  private boolean isReadyEverywhere(ModelVersion version, ModelVersion other, long nowMicros) {
    return directory.readyShare(version, List.of(other), nowMicros) == 1;
  }

  /** Returns where a conversation stands in the order in which they move, from 0 to below 1. */
  private static double positionOf(String scope, List<ChatMessage> messages) {
    String opening =
        messages.stream()
            .filter(message -> message.role().equals("user"))
            .findFirst()
            .map(ChatMessage::content)
            .orElse("");
    long hash =
        RendezvousHash.combine(RendezvousHash.hashOf(scope), RendezvousHash.hashOf(opening));
    return (hash >>> (Long.SIZE - FRACTION_BITS)) * 0x1.0p-53;
  }
}
