package org.shallothook.coordination.forward;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Keeps long prompts off some of the servers, so that streams there are not interrupted for long.
 *
 * <p>Handles long prompts beside streams: a server prefills prompts between the output tokens of
 * its streams, so that consecutive long prompts interrupt streams for longer than callers accept.
 * The servers are partitioned by the work that short and long prompts cause and by the slots that
 * streams of short prompts take. All routers order the servers in the same way. A prompt may go to
 * a server of the other kind if its own servers are much busier.
 *
 * <p>Invariant: while the servers are partitioned, each kind of prompt has at least one server. Not
 * thread-safe.
 */
final class LongPromptIsolation {
  /** Time in which the weight of past work halves, in microseconds. */
  private static final double WORK_HALF_LIFE_MICROS = 4_000_000;

  /** Maximum prefill time of a short prompt, as a share of the target for gaps in streams. */
  private static final double SHORT_PROMPT_SHARE = 0.2;

  /**
   * Maximum uninterrupted prefill time at a server for short prompts, as a share of the gap target.
   */
  private static final double MAX_PREFILL_SHARE = 0.6;

  /** Penalty for a server of the other kind, as a share of the gap target. */
  private static final double CROSSOVER_PENALTY_SHARE = 0.4;

  /** Minimum number of servers for a partition. */
  private static final int MIN_SERVERS = 3;

  /** Difference, in servers, above which the partition is resized; avoids frequent changes. */
  private static final double RESIZE_THRESHOLD = 0.75;

  /** Planned share of taken slots at a server for short prompts. */
  private static final double PLANNED_SLOT_SHARE = 0.65;

  private double shortWork;
  private double longWork;
  private long workAtMicros;
  private int shortServerCount;
  private Set<String> shortServerNames = Set.of();

  /** Returns whether a prompt is long compared with the gaps that streams may have. */
  boolean isLong(double prefillMicros, long gapTargetMicros) {
    return prefillMicros > SHORT_PROMPT_SHARE * gapTargetMicros;
  }

  /** Records the prefill time of a prompt that is sent. */
  void onWork(boolean isLong, double prefillMicros, long nowMicros) {
    double factor = Math.pow(0.5, (nowMicros - workAtMicros) / WORK_HALF_LIFE_MICROS);
    workAtMicros = nowMicros;
    shortWork = shortWork * factor + (isLong ? 0 : prefillMicros);
    longWork = longWork * factor + (isLong ? prefillMicros : 0);
  }

  /**
   * Recomputes the partition of the servers.
   *
   * @param servers usable servers of the service
   * @param openShortStreams estimated number of open streams of short prompts of all routers
   */
  void partition(List<Server> servers, int openShortStreams) {
    int count = servers.size();
    double totalWork = shortWork + longWork;
    if (count < MIN_SERVERS || totalWork == 0 || shortWork == 0 || longWork == 0) {
      shortServerCount = 0;
      shortServerNames = Set.of();
      return;
    }
    double plannedSlots = PLANNED_SLOT_SHARE * servers.get(0).entry().slots();
    double needed =
        Math.max(count * shortWork / totalWork, openShortStreams / Math.max(1, plannedSlots));
    double ideal = Math.max(1, Math.min(count - 1, needed));
    if (shortServerCount == 0 || Math.abs(ideal - shortServerCount) > RESIZE_THRESHOLD) {
      shortServerCount = (int) Math.round(ideal);
    }
    Set<String> names = new HashSet<>();
    servers.stream()
        .sorted(Comparator.comparingLong(Server::hash))
        .limit(shortServerCount)
        .forEach(server -> names.add(server.name()));
    shortServerNames = names;
  }

  /**
   * Returns whether a long prompt would interrupt the streams of short ones for too long.
   *
   * @param totalPrefillMicros time for which the server would prefill without a break, including
   *     this prompt
   */
  boolean wouldStall(
      Server server, boolean isLong, double totalPrefillMicros, long gapTargetMicros) {
    return isLong
        && shortServerNames.contains(server.name())
        && totalPrefillMicros > MAX_PREFILL_SHARE * gapTargetMicros;
  }

  /** Returns the penalty for sending a prompt to a server of the other kind, in microseconds. */
  double crossoverPenaltyMicros(Server server, boolean isLong, long gapTargetMicros) {
    boolean isCrossover =
        !shortServerNames.isEmpty() && shortServerNames.contains(server.name()) == isLong;
    return isCrossover ? CROSSOVER_PENALTY_SHARE * gapTargetMicros : 0;
  }
}
