package org.shallothook.coordination.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothook.coordination.placement.RendezvousHash;

/**
 * Places requests with prompts where their first output comes earliest.
 *
 * <p>Patterns answered: shared openings, hot openings and uneven load. The time expected at a
 * server is its queue plus the tokens that it must read; what another server has is copied, which
 * costs a fraction of reading. An opening that nobody is known to have goes to its home by
 * rendezvous hashing, where other routers send it as well, unless that has much more to do than
 * another.
 *
 * <p>Invariant: a server without a free place is never picked. Not thread-safe.
 */
final class PromptPlacement {
  /** Part of the time to read an unknown opening that its home is ahead of others by. */
  private static final double HOME_PART = 0.7;

  /** Time by which a server of the own failure domain is ahead of others, in microseconds. */
  private static final double DOMAIN_MICROS = 3_000;

  private final String failureDomain;
  private final PrefixBook book = new PrefixBook();
  private final ReadingSpeed speed = new ReadingSpeed();
  private final Map<String, ReadingLanes> lanes = new HashMap<>();

  PromptPlacement(String failureDomain) {
    this.failureDomain = failureDomain;
  }

  PrefixBook book() {
    return book;
  }

  ReadingLanes lanes(String service) {
    return lanes.computeIfAbsent(service, name -> new ReadingLanes());
  }

  ReadingSpeed speed() {
    return speed;
  }

  /** The server for a prompt, and whom it may copy parts from. */
  record Place(
      Server server,
      Optional<Server> source,
      int cachedTokens,
      int unreadTokens,
      double expectedMicros) {}

  /**
   * Returns the best place.
   *
   * @param service service that the servers belong to
   * @param servers servers that may begin the request
   * @param prompt openings of the prompt by server, since their scope holds the server's version
   * @param fetchMicrosPerToken time to copy one cached token
   * @param gapTargetMicros longest pause that streams may have
   * @param nowMicros time of the placement
   */
  Optional<Place> choose(
      String service,
      List<Server> servers,
      ScopedOpenings prompt,
      double fetchMicrosPerToken,
      long gapTargetMicros,
      long nowMicros) {
    ReadingLanes lanes = lanes(service);
    boolean isLong = lanes.isLong(speed.readMicros(prompt.promptTokens()), gapTargetMicros);
    Optional<Place> best = Optional.empty();
    for (Server server : servers) {
      if (server.hasPlace()) {
        double crossing = lanes.crossingMicros(server, isLong, gapTargetMicros);
        Place place = placeAt(server, servers, prompt, fetchMicrosPerToken, crossing, nowMicros);
        if (best.filter(other -> other.expectedMicros() <= place.expectedMicros()).isEmpty()) {
          best = Optional.of(place);
        }
      }
    }
    best.ifPresent(
        place -> lanes.onWork(isLong, speed.readMicros(place.unreadTokens()), nowMicros));
    return best;
  }

  private Place placeAt(
      Server server,
      List<Server> servers,
      ScopedOpenings prompt,
      double fetchMicrosPerToken,
      double crossingMicros,
      long nowMicros) {
    List<Opening> openings = prompt.at(server);
    int all = prompt.promptTokens();
    int cached = Math.min(all, book.cachedTokens(openings, server.name()));
    Opening shared = Opening.shared(openings);
    double micros = server.waitMicros(nowMicros) + crossingMicros;
    Optional<Server> source = Optional.empty();
    int unread = all - cached;
    if (cached < shared.tokens()) {
      source = source(server, servers, prompt);
      boolean isKnown = source.isPresent() && isHolder(source.get(), openings);
      int missing = shared.tokens() - cached;
      if (isKnown) {
        unread -= missing;
        micros += missing * fetchMicrosPerToken;
      } else if (isHome(server, servers, shared)) {
        micros -= HOME_PART * speed.readMicros(missing);
      }
    }
    micros += speed.readMicros(unread);
    micros += server.failureDomain().equals(failureDomain) ? 0 : DOMAIN_MICROS;
    micros += server.penaltyMicros();
    return new Place(server, source, cached, unread, micros);
  }

  private boolean isHolder(Server candidate, List<Opening> openings) {
    return book.cachedTokens(openings, candidate.name()) > 0;
  }

  /** Returns who is known to have the opening, or else who has it by its hash. */
  private Optional<Server> source(Server target, List<Server> servers, ScopedOpenings prompt) {
    List<Opening> openings = prompt.at(target);
    List<Server> others =
        servers.stream()
            .filter(other -> other != target && prompt.isSameScope(other, target))
            .toList();
    Optional<String> holder =
        book.holder(openings, name -> others.stream().anyMatch(one -> one.name().equals(name)));
    if (holder.isPresent()) {
      return others.stream().filter(one -> one.name().equals(holder.get())).findFirst();
    }
    return home(others, Opening.shared(openings));
  }

  private static boolean isHome(Server server, List<Server> servers, Opening shared) {
    return home(servers, shared).filter(home -> home == server).isPresent();
  }

  private static Optional<Server> home(List<Server> servers, Opening shared) {
    Server home = null;
    for (Server server : servers) {
      boolean isHeavier =
          home == null
              || Long.compareUnsigned(
                      RendezvousHash.weight(shared.hash(), server.hash()),
                      RendezvousHash.weight(shared.hash(), home.hash()))
                  > 0;
      home = isHeavier ? server : home;
    }
    return Optional.ofNullable(home);
  }
}
