package org.shallothook.coordination.forward;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Openings that other routers have still to be told of, gathered by the place that has them.
 *
 * <p>Pattern answered: many routers and prompts. Each message wakes up every other router, so what
 * comes up within a short time goes out together, and rounds are further apart the more routers
 * there are: what one router receives stays the same in a larger fleet.
 *
 * <p>Invariant: each opening added is told once, with the next round. Not thread-safe.
 */
final class PrefixAnnouncements {
  /** Least time between two rounds, in microseconds. */
  static final long INTERVAL_MICROS = 120_000;

  /** Time between two rounds for each router that takes part, in microseconds. */
  static final long INTERVAL_PER_ROUTER_MICROS = 15_000;

  private final Consumer<ForwardCommand> commands;
  private final Map<String, Set<Long>> untold = new LinkedHashMap<>();
  private long nextMicros;

  /** Creates announcements that have gathered nothing. */
  PrefixAnnouncements(Consumer<ForwardCommand> commands) {
    this.commands = commands;
  }

  /** Takes in openings that a server, or the store of cached parts, will have. */
  void add(String place, List<Long> openings) {
    if (!openings.isEmpty()) {
      untold.computeIfAbsent(place, name -> new LinkedHashSet<>()).addAll(openings);
    }
  }

  /**
   * Tells what has gathered, if a round is due.
   *
   * @param routers number of routers that tell each other
   * @param nowMicros present time in microseconds
   */
  void onTick(int routers, long nowMicros) {
    if (nowMicros >= nextMicros && !untold.isEmpty()) {
      nextMicros = nowMicros + Math.max(INTERVAL_MICROS, routers * INTERVAL_PER_ROUTER_MICROS);
      untold.forEach(
          (place, openings) ->
              commands.accept(new ForwardCommand.AnnouncePrefixes(place, List.copyOf(openings))));
      untold.clear();
    }
  }
}
