package org.shallothook.coordination.forward;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Keeps long prompts away from some of the servers, so that streams there run without pauses.
 *
 * <p>Pattern answered: a server reads prompts between the tokens of its streams. Where long prompts
 * come in a row, streams pause for longer than their callers accept. The servers are divided by the
 * work that short and long prompts make, and by the places that their streams take; every router
 * ranks them alike, and a prompt crosses over where its own servers have much more to do.
 *
 * <p>Invariant: with both kinds of work, each has a server. Not thread-safe.
 */
final class LongPromptIsolation {
  /** Time in which past work loses half of its weight, in microseconds. */
  private static final double HALF_LIFE_MICROS = 4_000_000;

  /** Part of the accepted pause that a prompt may take to be read and still count as short. */
  private static final double SHORT_PART = 0.2;

  /** Part of the accepted pause for which a server of the short ones may read in a row. */
  private static final double LONGEST_READING_PART = 0.6;

  /** Part of the accepted pause that a server of the other kind counts as later. */
  private static final double CROSSING_PART = 0.4;

  /** Servers below which they are not divided. */
  private static final int LEAST_SERVERS = 3;

  /** Difference, in servers, at which the division moves. */
  private static final double MOVE_AT = 0.75;

  /** Part of its places that a server of the short ones is planned to have taken. */
  private static final double PLANNED_PLACES = 0.65;

  private double shortWork;
  private double longWork;
  private long workAtMicros;
  private int shortServers;
  private Set<String> shortLane = Set.of();

  /** Returns whether a prompt is long beside the pauses that streams may have. */
  boolean isLong(double readMicros, long gapTargetMicros) {
    return readMicros > SHORT_PART * gapTargetMicros;
  }

  /** Takes in work that was sent. */
  void onWork(boolean isLong, double readMicros, long nowMicros) {
    double factor = Math.pow(0.5, (nowMicros - workAtMicros) / HALF_LIFE_MICROS);
    workAtMicros = nowMicros;
    shortWork = shortWork * factor + (isLong ? 0 : readMicros);
    longWork = longWork * factor + (isLong ? readMicros : 0);
  }

  /**
   * Divides the servers anew.
   *
   * @param servers servers that may begin requests
   * @param openShort streams of short prompts that all routers together have open
   */
  void divide(List<Server> servers, int openShort) {
    int count = servers.size();
    double all = shortWork + longWork;
    if (count < LEAST_SERVERS || all == 0 || shortWork == 0 || longWork == 0) {
      shortServers = 0;
      shortLane = Set.of();
      return;
    }
    double places = PLANNED_PLACES * servers.get(0).entry().slots();
    double needed = Math.max(count * shortWork / all, openShort / Math.max(1, places));
    double ideal = Math.max(1, Math.min(count - 1, needed));
    if (shortServers == 0 || Math.abs(ideal - shortServers) > MOVE_AT) {
      shortServers = (int) Math.round(ideal);
    }
    Set<String> lane = new HashSet<>();
    servers.stream()
        .sorted(Comparator.comparingLong(Server::hash))
        .limit(shortServers)
        .forEach(server -> lane.add(server.name()));
    shortLane = lane;
  }

  /**
   * Returns whether a long prompt would make the streams of short ones pause for too long.
   *
   * @param readingMicros time that the server would read in a row, with the prompt
   */
  boolean wouldStall(Server server, boolean isLong, double readingMicros, long gapTargetMicros) {
    return isLong
        && shortLane.contains(server.name())
        && readingMicros > LONGEST_READING_PART * gapTargetMicros;
  }

  /** Returns by how much a server counts as later for a prompt, in microseconds. */
  double crossingMicros(Server server, boolean isLong, long gapTargetMicros) {
    boolean isCrossing = !shortLane.isEmpty() && shortLane.contains(server.name()) == isLong;
    return isCrossing ? CROSSING_PART * gapTargetMicros : 0;
  }
}
