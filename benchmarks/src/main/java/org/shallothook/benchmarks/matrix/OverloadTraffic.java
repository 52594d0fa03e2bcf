package org.shallothook.benchmarks.matrix;

import java.util.ArrayList;
import java.util.List;
import org.shallothook.benchmarks.virtual.CallerRecord;
import org.shallothook.benchmarks.virtual.ChatRecord;
import org.shallothook.benchmarks.virtual.TeamSpec;
import org.shallothook.benchmarks.virtual.VirtualFleet;
import org.shallothook.state.request.RefusalReason;

/**
 * Overloads every sidecar queue with ordinary chats while a priority team sends chats of its own.
 *
 * <p>Guarantee checked: each priority chat gets its first token within {@link
 * RecoveryGuarantees#FIRST_TOKEN_MICROS}, whatever fault is injected. The scenario itself checks
 * that every ordinary chat gets a final response, as it does for all callers.
 *
 * <p>Not thread-safe; used once.
 */
final class OverloadTraffic {
  /** Maximum queue length of each sidecar, short enough for the ordinary chats to fill. */
  static final int QUEUE_LENGTH = 16;

  private static final long MILLISECOND_MICROS = 1_000;
  private static final long LEAD_MICROS = 1_000 * MILLISECOND_MICROS;
  private static final long DURATION_MICROS = 3_500 * MILLISECOND_MICROS;
  private static final long ORDINARY_INTERVAL_MICROS = 5 * MILLISECOND_MICROS;
  private static final long FIRST_PRIORITY_CHAT_MICROS = 300 * MILLISECOND_MICROS;
  private static final long PRIORITY_INTERVAL_MICROS = 100 * MILLISECOND_MICROS;
  private static final int PRIORITY_CHATS = 20;

  private final VirtualFleet fleet;
  private final TeamSpec ordinary;
  private final TeamSpec priority;
  private final List<ChatRecord> ordinaryChats = new ArrayList<>();
  private final List<ChatRecord> priorityChats = new ArrayList<>();

  /**
   * Creates the traffic without scheduling it.
   *
   * @param fleet fleet that receives the chats
   * @param ordinary team that fills the queues
   * @param priority team whose time to first token is checked
   */
  OverloadTraffic(VirtualFleet fleet, TeamSpec ordinary, TeamSpec priority) {
    this.fleet = fleet;
    this.ordinary = ordinary;
    this.priority = priority;
  }

  /** Schedules all chats relative to the virtual time from which faults are injected. */
  void schedule(long faultsFromMicros) {
    long first = faultsFromMicros - LEAD_MICROS;
    int number = 0;
    for (long at = first; at < first + DURATION_MICROS; at += ORDINARY_INTERVAL_MICROS) {
      String question = "crowd " + number++ + " answer-tokens:64";
      fleet.at(at, () -> ordinaryChats.add(fleet.chat(ScenarioTeams.chatOf(ordinary, question))));
    }
    for (int call = 0; call < PRIORITY_CHATS; call++) {
      String question = "urgent " + call + " answer-tokens:8";
      long at = faultsFromMicros + FIRST_PRIORITY_CHAT_MICROS + call * PRIORITY_INTERVAL_MICROS;
      fleet.at(at, () -> priorityChats.add(fleet.chat(ScenarioTeams.chatOf(priority, question))));
    }
  }

  /** Returns a description of each violated guarantee. */
  List<String> violations() {
    List<String> violations = new ArrayList<>();
    for (ChatRecord call : priorityChats) {
      if (ordinaryChats.stream().noneMatch(chat -> isNear(chat, call) && foundQueuesFull(chat))) {
        violations.add(call.request() + ": the queues were not full");
      }
      checkFirstToken(call, violations);
    }
    return violations;
  }

  private static boolean isNear(ChatRecord chat, ChatRecord call) {
    return Math.abs(chat.sentMicros() - call.sentMicros()) < PRIORITY_INTERVAL_MICROS;
  }

  private static boolean foundQueuesFull(ChatRecord chat) {
    return chat.refusal()
        .filter(refusal -> refusal.reason() == RefusalReason.QUEUE_FULL)
        .isPresent();
  }

  /** Skips chats whose connection was lost with their router, since nothing can answer them. */
  private static void checkFirstToken(ChatRecord call, List<String> violations) {
    if (call.state() == CallerRecord.State.LOST) {
      return;
    }
    long micros = call.timeToFirstTokenMicros().orElse(Long.MAX_VALUE);
    if (micros > RecoveryGuarantees.FIRST_TOKEN_MICROS) {
      violations.add(
          call.request()
              + ": first token over full queues after "
              + micros / MILLISECOND_MICROS
              + " ms, "
              + call.refusal());
    }
  }
}
