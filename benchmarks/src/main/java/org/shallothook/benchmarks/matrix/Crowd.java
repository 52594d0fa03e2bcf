package org.shallothook.benchmarks.matrix;

import java.util.ArrayList;
import java.util.List;
import org.shallothook.benchmarks.virtual.CallerRecord;
import org.shallothook.benchmarks.virtual.ChatRecord;
import org.shallothook.benchmarks.virtual.TeamSpec;
import org.shallothook.benchmarks.virtual.VirtualFleet;
import org.shallothook.state.request.RefusalReason;

/**
 * Ordinary work that fills every queue of a scene, and a priority team that calls meanwhile.
 *
 * <p>Promise: each of its calls has its first token in time, whatever fault is in force. That the
 * ordinary work ends with a final answer is checked with all other callers.
 *
 * <p>Not thread-safe; used once.
 */
final class Crowd {
  /** Queue of each sidecar, short enough for the crowd to fill. */
  static final int QUEUE_LENGTH = 16;

  private static final long MILLISECOND_MICROS = 1_000;
  private static final long LEAD_MICROS = 1_000 * MILLISECOND_MICROS;
  private static final long LENGTH_MICROS = 3_500 * MILLISECOND_MICROS;
  private static final long ORDINARY_INTERVAL_MICROS = 5 * MILLISECOND_MICROS;
  private static final long FIRST_CALL_MICROS = 300 * MILLISECOND_MICROS;
  private static final long CALL_INTERVAL_MICROS = 100 * MILLISECOND_MICROS;
  private static final int CALLS = 20;

  private final VirtualFleet fleet;
  private final TeamSpec ordinary;
  private final TeamSpec priority;
  private final List<ChatRecord> crowd = new ArrayList<>();
  private final List<ChatRecord> calls = new ArrayList<>();

  /**
   * Creates a crowd that is not there yet.
   *
   * @param fleet fleet of the scene
   * @param ordinary team that fills the queues
   * @param priority team that calls meanwhile
   */
  Crowd(VirtualFleet fleet, TeamSpec ordinary, TeamSpec priority) {
    this.fleet = fleet;
    this.ordinary = ordinary;
    this.priority = priority;
  }

  /** Plans the crowd around the time from which faults strike. */
  void schedule(long strikesFromMicros) {
    long first = strikesFromMicros - LEAD_MICROS;
    int number = 0;
    for (long at = first; at < first + LENGTH_MICROS; at += ORDINARY_INTERVAL_MICROS) {
      String question = "crowd " + number++ + " answer-tokens:64";
      fleet.at(at, () -> crowd.add(fleet.chat(SceneTeams.chatOf(ordinary, question))));
    }
    for (int call = 0; call < CALLS; call++) {
      String question = "urgent " + call + " answer-tokens:8";
      long at = strikesFromMicros + FIRST_CALL_MICROS + call * CALL_INTERVAL_MICROS;
      fleet.at(at, () -> calls.add(fleet.chat(SceneTeams.chatOf(priority, question))));
    }
  }

  /** Returns what was broken, in words. */
  List<String> violations() {
    List<String> violations = new ArrayList<>();
    for (ChatRecord call : calls) {
      if (crowd.stream().noneMatch(chat -> isNear(chat, call) && foundQueuesFull(chat))) {
        violations.add(call.request() + ": the queues were not full");
      }
      checkFirstToken(call, violations);
    }
    return violations;
  }

  private static boolean isNear(ChatRecord chat, ChatRecord call) {
    return Math.abs(chat.sentMicros() - call.sentMicros()) < CALL_INTERVAL_MICROS;
  }

  private static boolean foundQueuesFull(ChatRecord chat) {
    return chat.refusal()
        .filter(refusal -> refusal.reason() == RefusalReason.QUEUE_FULL)
        .isPresent();
  }

  /** A call whose own router is lost has nobody left to answer it. */
  private static void checkFirstToken(ChatRecord call, List<String> violations) {
    if (call.state() == CallerRecord.State.LOST) {
      return;
    }
    long micros = call.timeToFirstTokenMicros().orElse(Long.MAX_VALUE);
    if (micros > SceneRecovery.FIRST_TOKEN_MICROS) {
      violations.add(
          call.request()
              + ": first token over full queues after "
              + micros / MILLISECOND_MICROS
              + " ms, "
              + call.refusal());
    }
  }
}
