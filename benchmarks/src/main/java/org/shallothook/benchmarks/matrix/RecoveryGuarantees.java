package org.shallothook.benchmarks.matrix;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.shallothook.benchmarks.virtual.CallerRecord;
import org.shallothook.benchmarks.virtual.ChatRecord;
import org.shallothook.benchmarks.virtual.TeamSpec;
import org.shallothook.benchmarks.virtual.UpstreamLedger;
import org.shallothook.benchmarks.virtual.VirtualFleet;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.ConfigurationState;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.configuration.TeamTemplate;

/**
 * Guarantees that are checked on chats sent after the faults of a scenario have ended: every chat
 * is served, by the model version in force, and a priority team's gets its first token within
 * {@link #FIRST_TOKEN_MICROS}. After a restart of all routers, every chat meets that bound and
 * finds part of its prompt in an engine's prefix cache.
 *
 * <p>Not thread-safe; used once.
 */
final class RecoveryGuarantees {
  /** Maximum time to first token on a lightly loaded fleet, in microseconds. */
  static final long FIRST_TOKEN_MICROS = 460_000;

  private static final long MILLISECOND_MICROS = 1_000;

  private final VirtualFleet fleet;
  private final List<TeamSpec> teams;
  private final boolean hasSlowEngine;
  private final List<ChatRecord> recovered = new ArrayList<>();
  private final List<ChatRecord> afterRestart = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();

  /**
   * Creates the checks without any chats.
   *
   * @param fleet fleet that serves the chats
   * @param teams teams that send chats
   * @param hasSlowEngine whether an engine stays slow, which alone may exceed the bound; no first
   *     token is timed then
   */
  RecoveryGuarantees(VirtualFleet fleet, List<TeamSpec> teams, boolean hasSlowEngine) {
    this.fleet = fleet;
    this.teams = List.copyOf(teams);
    this.hasSlowEngine = hasSlowEngine;
  }

  /** Adds a chat sent after the last fault. */
  void addRecovered(ChatRecord chat) {
    recovered.add(chat);
  }

  /** Adds a chat sent after all routers restarted, whose prefix earlier chats have used. */
  void addAfterRestart(ChatRecord chat) {
    afterRestart.add(chat);
  }

  /** Returns a description of each violated guarantee. */
  List<String> violations(ConfigurationState inForce) {
    recovered.forEach(chat -> checkServed(chat, "after recovery"));
    recovered.forEach(chat -> checkVersion(chat, inForce));
    recovered.stream()
        .filter(this::hasPriority)
        .forEach(chat -> checkFirstToken(chat, "of the priority team"));
    for (ChatRecord chat : afterRestart) {
      checkServed(chat, "after all routers restarted");
      checkVersion(chat, inForce);
      checkFirstToken(chat, "after all routers restarted");
      if (chat.cachedTokens() == 0) {
        violations.add(chat.request() + ": found nothing cached after all routers restarted");
      }
    }
    return List.copyOf(violations);
  }

  private boolean hasPriority(ChatRecord chat) {
    return teams.stream()
        .filter(team -> team.priority() == PriorityClass.PRIORITY)
        .anyMatch(team -> team.key().equals(chat.call().key()));
  }

  private void checkServed(ChatRecord chat, String when) {
    if (chat.state() != CallerRecord.State.COMPLETE) {
      violations.add(chat.request() + ": not served " + when + ": " + chat.refusal());
    }
  }

  /** Ignores chats without a first token: {@link #checkServed} reports them. */
  private void checkFirstToken(ChatRecord chat, String which) {
    long micros = chat.timeToFirstTokenMicros().orElse(0);
    if (!hasSlowEngine && micros > FIRST_TOKEN_MICROS) {
      violations.add(
          chat.request()
              + ": first token "
              + which
              + " after "
              + micros / MILLISECOND_MICROS
              + " ms");
    }
  }

  private void checkVersion(ChatRecord chat, ConfigurationState inForce) {
    Optional<ModelVersion> desired =
        teams.stream()
            .filter(team -> team.key().equals(chat.call().key()))
            .findFirst()
            .flatMap(team -> inForce.team(team.name()))
            .map(TeamTemplate::modelVersion);
    for (UpstreamLedger.ExpectedAnswer answer : fleet.ledger().answers(chat.request())) {
      if (!desired.equals(Optional.of(answer.modelVersion()))) {
        violations.add(
            chat.request() + ": ran on " + answer.modelVersion() + ", in force is " + desired);
      }
    }
  }
}
