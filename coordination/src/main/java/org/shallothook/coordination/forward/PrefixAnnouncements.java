package org.shallothook.coordination.forward;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Collects prefixes to announce to the other routers, by the server or store that holds them.
 *
 * <p>Handles many routers and prompts: each message wakes up every other router, so prefixes added
 * within a short time are sent together. The interval grows with the number of routers, so that the
 * rate of messages that one router receives does not grow with the fleet.
 *
 * <p>Invariant: each added prefix is announced once, with the next round. Not thread-safe.
 */
final class PrefixAnnouncements {
  /** Minimum time between two rounds, in microseconds. */
  static final long INTERVAL_MICROS = 120_000;

  /** Minimum time between two rounds per router of the fleet, in microseconds. */
  static final long INTERVAL_PER_ROUTER_MICROS = 15_000;

  private final Consumer<ForwardCommand> commands;
  private final Map<String, Set<Long>> pending = new LinkedHashMap<>();
  private long nextMicros;

  /** Creates announcements without pending prefixes. */
  PrefixAnnouncements(Consumer<ForwardCommand> commands) {
    this.commands = commands;
  }

  /**
   * Adds prefixes that a server or the cache store will hold.
   *
   * @param holder identity of the server, or address of the store
   * @param prefixHashes hashes of the prefixes
   */
  void add(String holder, List<Long> prefixHashes) {
    if (!prefixHashes.isEmpty()) {
      pending.computeIfAbsent(holder, name -> new LinkedHashSet<>()).addAll(prefixHashes);
    }
  }

  /**
   * Announces the pending prefixes, if a round is due.
   *
   * @param routers number of routers in the fleet
   * @param nowMicros current time in microseconds
   */
  void onTick(int routers, long nowMicros) {
    if (nowMicros >= nextMicros && !pending.isEmpty()) {
      nextMicros = nowMicros + Math.max(INTERVAL_MICROS, routers * INTERVAL_PER_ROUTER_MICROS);
      pending.forEach(
          (holder, prefixHashes) ->
              commands.accept(
                  new ForwardCommand.AnnouncePrefixes(holder, List.copyOf(prefixHashes))));
      pending.clear();
    }
  }
}
