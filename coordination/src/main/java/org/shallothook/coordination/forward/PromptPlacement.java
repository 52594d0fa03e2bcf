package org.shallothook.coordination.forward;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.shallothook.coordination.placement.PlacementCandidate;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.state.route.ServiceTraits.CacheStore;

/**
 * Places requests with prompts where their first output comes earliest.
 *
 * <p>Patterns answered: shared openings, hot openings and uneven load. The time expected at a
 * server is its queue plus the tokens that it must read; what another server has is copied, which
 * costs a fraction of reading. An opening that nobody is known to have goes to its home by
 * rendezvous hashing, where other routers send it as well, unless that has much more to do than
 * another; it is looked for in the store of cached parts and saved there.
 *
 * <p>Invariant: a server without a free place is never picked. Not thread-safe.
 */
final class PromptPlacement {
  /** Part of the time to read an unknown opening that its home is ahead of others by. */
  private static final double HOME_PART = 1.0;

  /** Part of that time that another copy of an opening costs, since it drops others from memory. */
  private static final double COPY_PART = 0.6;

  /** Slowness of a copy from the store, whose link all servers share, beside one from a server. */
  private static final double STORE_SLOWNESS = 2;

  /** Time for which an opening counts as stored, as the store may lose all; in microseconds. */
  private static final long STORED_MICROS = 30_000_000;

  /** Time by which a server of the own failure domain is ahead of others, in microseconds. */
  private static final double DOMAIN_MICROS = 3_000;

  private final String failureDomain;
  private final PrefixLocations locations = new PrefixLocations();
  private final PrefillSpeed speed = new PrefillSpeed();
  private final PrefillBacklog backlog = new PrefillBacklog();
  private final Map<String, LongPromptIsolation> isolation = new HashMap<>();

  PromptPlacement(String failureDomain) {
    this.failureDomain = failureDomain;
  }

  PrefixLocations book() {
    return locations;
  }

  LongPromptIsolation lanes(String service) {
    return isolation.computeIfAbsent(service, name -> new LongPromptIsolation());
  }

  PrefillBacklog unread() {
    return backlog;
  }

  PrefillSpeed speed() {
    return speed;
  }

  /**
   * The server for a prompt, and from where it may copy parts.
   *
   * @param server the server
   * @param fetchFrom {@code IP:port} of another server or the store
   * @param saveTo {@code IP:port} of the store where parts are to be kept
   * @param cachedTokens tokens that the server is believed to have
   * @param unreadTokens tokens that it must read
   * @param waitMicros time before the prompt is read
   * @param stallsStreams whether reading it would make streams there pause for too long
   * @param expectedMicros time until the first output
   */
  record Place(
      Server server,
      Optional<String> fetchFrom,
      Optional<String> saveTo,
      int cachedTokens,
      int unreadTokens,
      double waitMicros,
      boolean stallsStreams,
      double expectedMicros) {

    boolean isBetterThan(Place other) {
      return stallsStreams == other.stallsStreams
          ? expectedMicros < other.expectedMicros
          : other.stallsStreams;
    }
  }

  /** A prompt that is to be placed, among servers by their names. */
  private record Query(
      Map<String, Server> servers,
      ScopedPrefixes prompt,
      EngineProfile profile,
      boolean isLong,
      long gapTargetMicros,
      ToDoubleFunction<Server> handicapMicros,
      long nowMicros,
      Map<Long, PlacementCandidate> homes) {}

  /**
   * Returns the best place.
   *
   * @param servers servers that may begin the request
   * @param prompt openings of the prompt by server, since their scope holds the server's version
   * @param profile the service that the servers belong to
   * @param gapTargetMicros longest pause that streams may have
   * @param handicapMicros by how much each server counts as later for other reasons
   * @param nowMicros time of the placement
   */
  Optional<Place> choose(
      List<Server> servers,
      ScopedPrefixes prompt,
      EngineProfile profile,
      long gapTargetMicros,
      ToDoubleFunction<Server> handicapMicros,
      long nowMicros) {
    LongPromptIsolation own = lanes(profile.service());
    boolean isLong = own.isLong(speed.readMicros(prompt.promptTokens()), gapTargetMicros);
    Map<String, Server> byName = new LinkedHashMap<>();
    servers.forEach(server -> byName.put(server.name(), server));
    Query query =
        new Query(
            byName,
            prompt,
            profile,
            isLong,
            gapTargetMicros,
            handicapMicros,
            nowMicros,
            new HashMap<>());
    Optional<Place> best = Optional.empty();
    for (Server server : servers) {
      if (server.hasPlace()) {
        Place place = placeAt(server, query);
        if (best.filter(other -> !place.isBetterThan(other)).isEmpty()) {
          best = Optional.of(place);
        }
      }
    }
    best.ifPresent(place -> own.onWork(isLong, speed.readMicros(place.unreadTokens()), nowMicros));
    return best;
  }

  private Place placeAt(Server server, Query query) {
    List<PromptPrefix> prefixes = query.prompt().at(server);
    EngineProfile profile = query.profile();
    int all = query.prompt().promptTokens();
    int cached =
        Math.min(all, locations.cachedTokens(prefixes, server.name(), profile.memoryTokens()));
    int missing = PromptPrefix.shared(prefixes).tokens() - cached;
    double waitMicros = server.waitMicros(backlog.scale(profile.service()), query.nowMicros());
    double micros = waitMicros + server.penaltyMicros();
    micros +=
        lanes(profile.service()).crossingMicros(server, query.isLong(), query.gapTargetMicros());
    micros += query.handicapMicros().applyAsDouble(server);
    micros += server.failureDomain().equals(failureDomain) ? 0 : DOMAIN_MICROS;
    int unreadTokens = all - cached;
    // What is believed may be gone; the store then has it, and asking it costs next to nothing.
    Optional<String> store = profile.store().map(CacheStore::address);
    Optional<String> fetchFrom = store;
    boolean isStored = isStored(PromptPrefix.shared(prefixes), query);
    Optional<String> saveTo = missing > 0 && !isStored ? store : Optional.empty();
    if (missing > 0) {
      Optional<Server> holder = holder(server, query);
      if (holder.isPresent()) {
        unreadTokens -= missing;
        micros += missing * profile.fetchMicrosPerToken();
        micros += COPY_PART * speed.readMicros(missing);
        fetchFrom = Optional.of(holder.get().entry().address());
      } else {
        micros -= isHome(server, query, prefixes) ? HOME_PART * speed.readMicros(missing) : 0;
        unreadTokens -= isStored ? missing : 0;
        micros += isStored ? STORE_SLOWNESS * missing * profile.fetchMicrosPerToken() : 0;
      }
    }
    double readMicros = speed.readMicros(unreadTokens);
    boolean stallsStreams =
        lanes(profile.service())
            .wouldStall(server, query.isLong(), waitMicros + readMicros, query.gapTargetMicros());
    return new Place(
        server,
        fetchFrom,
        saveTo,
        cached,
        unreadTokens,
        waitMicros,
        stallsStreams,
        micros + readMicros);
  }

  private boolean isStored(PromptPrefix prefix, Query query) {
    return query
        .profile()
        .store()
        .filter(
            store ->
                locations.hasSince(
                    prefix,
                    store.address(),
                    store.cacheTokens(),
                    query.nowMicros() - STORED_MICROS))
        .isPresent();
  }

  /** Takes in that a prompt is being saved, and returns the openings to tell other routers of. */
  List<Long> onSaved(List<PromptPrefix> shared, CacheStore store, long newTokens, long nowMicros) {
    List<Long> toTell = locations.onSent(shared, store.address(), store.cacheTokens(), nowMicros);
    locations.onRead(shared, store.address(), newTokens, nowMicros);
    return toTell;
  }

  /** Returns another server that has read the opening, with weights of the same version. */
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
