package org.shallothook.coordination.forward;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import org.shallothook.coordination.placement.PlacementCandidate;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.state.route.ServiceTraits.CacheStore;

/**
 * Places requests with prompts at the server with the earliest expected first output.
 *
 * <p>Handles shared prefixes, hot prefixes and uneven load: the expected time at a server is its
 * queue delay plus the time to prefill the tokens that it does not have cached. Cached tokens of
 * another server are copied, which costs a fraction of a prefill. A prefix that no server is known
 * to hold goes to its home server by rendezvous hashing, as at all other routers, unless that
 * server is much busier than another. The cache store is queried for it, and it is saved there.
 *
 * <p>Handles many routers that act on the same outdated status: without a guess at what the others
 * send, all of them choose the same server until its next status. Each router takes its own prompts
 * as a sample of those of all routers, and a small random addition separates equal servers.
 *
 * <p>Handles servers of different speed: times of queued and new prompts are multiplied by the
 * server's factor. The bonus of a home and the penalty for a copy are not, since they stand for the
 * use of the cache of all servers.
 *
 * <p>Invariant: a server without a free slot is never chosen. Not thread-safe.
 */
final class PromptPlacement {
  /** Bonus of the home server of an unknown prefix, as a share of the time to prefill it. */
  private static final double HOME_BONUS_SHARE = 1.0;

  /**
   * Penalty for another copy of a prefix, as a share of its prefill time; it evicts other prefixes.
   */
  private static final double COPY_PENALTY_SHARE = 0.6;

  /**
   * Factor from the time of a copy from a server to one from the store, whose link all servers
   * share.
   */
  private static final double STORE_COPY_FACTOR = 2;

  /** Time for which a prefix counts as stored, in microseconds; the store may lose its contents. */
  private static final long STORED_VALID_MICROS = 30_000_000;

  /** Penalty for a server of another failure domain, in microseconds. */
  private static final double OTHER_DOMAIN_PENALTY_MICROS = 3_000;

  /**
   * Largest random addition to the expected time, in microseconds, so that routers which see the
   * same servers equally busy do not all choose the same one.
   */
  private static final double MAX_JITTER_MICROS = 20_000;

  private final String failureDomain;
  private final PrefixLocations locations = new PrefixLocations();
  private final PrefillSpeed speed = new PrefillSpeed();
  private final ServerSpeeds speeds;
  private final PrefillBacklog backlog = new PrefillBacklog();
  private final WaitCorrection waitCorrection = new WaitCorrection();
  private final Map<String, LongPromptIsolation> isolation = new HashMap<>();
  private final SplittableRandom random;
  private int routers = 1;

  PromptPlacement(String failureDomain, SplittableRandom random, ServerSpeeds speeds) {
    this.failureDomain = failureDomain;
    this.random = random;
    this.speeds = speeds;
  }

  /** Sets the number of routers that send prompts to the servers, including this one. */
  void onRouterCount(int count) {
    routers = count;
  }

  PrefixLocations prefixLocations() {
    return locations;
  }

  LongPromptIsolation isolation(String service) {
    return isolation.computeIfAbsent(service, name -> new LongPromptIsolation());
  }

  PrefillBacklog backlog() {
    return backlog;
  }

  WaitCorrection waitCorrection() {
    return waitCorrection;
  }

  PrefillSpeed speed() {
    return speed;
  }

  ServerSpeeds speeds() {
    return speeds;
  }

  /**
   * Expected result of sending a prompt to a server, and from where the server may copy cached
   * parts.
   *
   * @param server the server
   * @param fetchFrom {@code IP:port} of another server or the store to copy cached parts from
   * @param saveTo {@code IP:port} of the store to save cached parts to
   * @param cachedTokens tokens that the server is assumed to have cached
   * @param prefillTokens tokens that it must prefill
   * @param waitMicros expected time until the prefill starts, without what other routers may have
   *     sent since the last status, in microseconds
   * @param waitCorrection factor by which that was corrected for measured waits
   * @param prefillMicros expected duration of the prefill at this server, in microseconds
   * @param stallsStreams whether the prefill would interrupt streams there for too long
   * @param expectedMicros expected time until the first output with bonuses, penalties and what
   *     other routers may have sent, by which servers are compared, in microseconds
   */
  record Placement(
      Server server,
      Optional<String> fetchFrom,
      Optional<String> saveTo,
      int cachedTokens,
      int prefillTokens,
      double waitMicros,
      double waitCorrection,
      double prefillMicros,
      boolean stallsStreams,
      double expectedMicros) {

    /** Returns the expected time until the first output, in microseconds. */
    double firstOutputMicros() {
      return waitMicros + prefillMicros;
    }

    boolean isBetterThan(Placement other) {
      return stallsStreams == other.stallsStreams
          ? expectedMicros < other.expectedMicros
          : other.stallsStreams;
    }
  }

  /**
   * A prompt to place, with the candidate servers by name.
   *
   * @param homes home servers already computed, by the hash of the prefix
   */
  private record Query(
      Map<String, Server> servers,
      ScopedPrefixes prompt,
      EngineProfile profile,
      PromptTargets targets,
      double waitScale,
      double waitCorrection,
      boolean isLong,
      ToDoubleFunction<Server> penaltyMicros,
      long nowMicros,
      Map<Long, PlacementCandidate> homes) {}

  /**
   * Returns the best placement; empty if no server has a free slot.
   *
   * @param servers servers that may start the request
   * @param prompt prefixes of the prompt by server, as their scope includes the server's version
   * @param profile profile of the service that the servers belong to
   * @param targets what the caller expects
   * @param penaltyMicros additional penalty of each server, in microseconds
   * @param nowMicros current time in microseconds
   */
  Optional<Placement> choose(
      List<Server> servers,
      ScopedPrefixes prompt,
      EngineProfile profile,
      PromptTargets targets,
      ToDoubleFunction<Server> penaltyMicros,
      long nowMicros) {
    LongPromptIsolation serviceIsolation = isolation(profile.service());
    boolean isLong =
        serviceIsolation.isLong(speed.prefillMicros(prompt.promptTokens()), targets.gapMicros());
    Map<String, Server> byName = new LinkedHashMap<>();
    servers.forEach(server -> byName.put(server.name(), server));
    Query query =
        new Query(
            byName,
            prompt,
            profile,
            targets,
            backlog.scale(profile.service(), targets.priority()),
            waitCorrection.factor(profile.service(), targets.priority(), nowMicros),
            isLong,
            penaltyMicros,
            nowMicros,
            new HashMap<>());
    Optional<Placement> best = Optional.empty();
    for (Server server : servers) {
      if (server.hasFreeSlot(nowMicros)) {
        Placement placement = evaluate(server, query);
        if (best.filter(other -> !placement.isBetterThan(other)).isEmpty()) {
          best = Optional.of(placement);
        }
      }
    }
    best.ifPresent(
        placement ->
            serviceIsolation.onWork(
                isLong, speed.prefillMicros(placement.prefillTokens()), nowMicros));
    return best;
  }

  private Placement evaluate(Server server, Query query) {
    List<PromptPrefix> prefixes = query.prompt().at(server);
    EngineProfile profile = query.profile();
    int promptTokens = query.prompt().promptTokens();
    int cachedTokens =
        Math.min(
            promptTokens, locations.cachedTokens(prefixes, server.name(), profile.memoryTokens()));
    int missingTokens = PromptPrefix.shared(prefixes).tokens() - cachedTokens;
    double factor = speeds.factor(server);
    double statusMicros = server.statusWaitMicros(query.waitScale(), query.nowMicros());
    double sentMicros = server.sentWaitMicros(query.targets().priority());
    double waitMicros = factor * (query.waitCorrection() * (statusMicros + sentMicros));
    // All routers act on the same status, so the own prompts are a sample of those of all. That is
    // a guess: good enough to prefer another server, but not to refuse.
    double fleetWaitMicros =
        factor * (query.waitCorrection() * (statusMicros + routers * sentMicros));
    double micros = fleetWaitMicros + server.penaltyMicros() + jitterMicros();
    micros +=
        isolation(profile.service())
            .crossoverPenaltyMicros(server, query.isLong(), query.targets().gapMicros());
    micros += query.penaltyMicros().applyAsDouble(server);
    micros += server.failureDomain().equals(failureDomain) ? 0 : OTHER_DOMAIN_PENALTY_MICROS;
    int prefillTokens = promptTokens - cachedTokens;
    // The assumed cache entries may be gone, and the store may still have them. Querying it costs
    // next to nothing, so it is always named.
    Optional<String> store = profile.store().map(CacheStore::address);
    Optional<String> fetchFrom = store;
    boolean isStored = isStored(PromptPrefix.shared(prefixes), query);
    Optional<String> saveTo = missingTokens > 0 && !isStored ? store : Optional.empty();
    if (missingTokens > 0) {
      Optional<Server> holder = holder(server, query);
      if (holder.isPresent()) {
        prefillTokens -= missingTokens;
        micros += missingTokens * profile.fetchMicrosPerToken();
        micros += COPY_PENALTY_SHARE * speed.prefillMicros(missingTokens);
        fetchFrom = Optional.of(holder.get().entry().address());
      } else {
        micros -=
            isHome(server, query, prefixes)
                ? HOME_BONUS_SHARE * speed.prefillMicros(missingTokens)
                : 0;
        prefillTokens -= isStored ? missingTokens : 0;
        micros += isStored ? STORE_COPY_FACTOR * missingTokens * profile.fetchMicrosPerToken() : 0;
      }
    }
    double prefillMicros = factor * speed.prefillMicros(prefillTokens);
    boolean stallsStreams =
        isolation(profile.service())
            .wouldStall(
                server, query.isLong(), waitMicros + prefillMicros, query.targets().gapMicros());
    return new Placement(
        server,
        fetchFrom,
        saveTo,
        cachedTokens,
        prefillTokens,
        waitMicros,
        query.waitCorrection(),
        prefillMicros,
        stallsStreams,
        micros + prefillMicros);
  }

  private double jitterMicros() {
    return routers > 1 ? random.nextDouble(MAX_JITTER_MICROS) : 0;
  }

  private boolean isStored(PromptPrefix prefix, Query query) {
    return query
        .profile()
        .store()
        .filter(
            store ->
                locations.isCachedSince(
                    prefix,
                    store.address(),
                    store.cacheTokens(),
                    query.nowMicros() - STORED_VALID_MICROS))
        .isPresent();
  }

  /** Records that prefixes are being saved, and returns the hashes of those to announce. */
  List<Long> onSaved(List<PromptPrefix> shared, CacheStore store, long newTokens, long nowMicros) {
    List<Long> toAnnounce =
        locations.onSent(shared, store.address(), store.cacheTokens(), nowMicros);
    locations.onPrefilled(shared, store.address(), newTokens, nowMicros);
    return toAnnounce;
  }

  /** Returns another server with the shared prefix and the same version of the weights. */
  private Optional<Server> holder(Server target, Query query) {
    List<PromptPrefix> shared = List.of(PromptPrefix.shared(query.prompt().at(target)));
    return locations
        .holder(
            shared,
            query.profile().memoryTokens(),
            name -> {
              Server other = query.servers().get(name);
              return other != null && other != target && query.prompt().isSameScope(other, target);
            })
        .map(query.servers()::get);
  }

  private static boolean isHome(Server server, Query query, List<PromptPrefix> prefixes) {
    Map<String, Server> servers = query.servers();
    return query
            .homes()
            .computeIfAbsent(
                PromptPrefix.shared(prefixes).hash(),
                prefix -> RendezvousHash.ranks(List.copyOf(servers.values()), prefix, 1).get(0))
        == server;
  }
}
