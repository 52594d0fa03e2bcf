package org.shallothook.benchmarks.virtual;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.shallothook.coordination.router.ChatMessage;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.PriorityClass;

final class VirtualFleetTest {
  private static final TeamSpec TEAM =
      new TeamSpec(
          "guild",
          ModelVersion.of("linen", "v1"),
          PriorityClass.ORDINARY,
          "rule ".repeat(4_000),
          Map.of("register", "week ".repeat(4_000)),
          "booking",
          false);

  private static VirtualFleet fleet(long seed) {
    VirtualFleet fleet =
        VirtualFleet.builder().seed(seed).team(TEAM).services("booking", 2, false).build();
    fleet.runFor(2_000_000);
    return fleet;
  }

  private static ChatCall chat(String question) {
    return ChatCall.of(
        TEAM.key(),
        "linen",
        Optional.of("register"),
        List.of(new ChatMessage("user", question + " answer-tokens:30")));
  }

  private static void sendChats(VirtualFleet fleet, int count) {
    long start = fleet.nowMicros();
    for (int index = 0; index < count; index++) {
      String question = "question " + index;
      fleet.at(start + index * 40_000L, () -> fleet.chat(chat(question)));
    }
  }

  private static void assertSound(VirtualFleet fleet) {
    assertThat(FleetInvariants.violations(fleet, Set.of())).isEmpty();
  }

  @Test
  void chatsAreAnsweredCompletely() {
    VirtualFleet fleet = fleet(1);
    sendChats(fleet, 50);
    fleet.runFor(10_000_000);
    for (ChatRecord chat : fleet.callers().chats()) {
      assertWithMessage(chat.request() + " " + chat.refusal())
          .that(chat.state())
          .isEqualTo(CallerRecord.State.COMPLETE);
      assertThat(chat.tokens()).isEqualTo(30);
    }
    assertSound(fleet);
  }

  @Test
  void theSameSeedGivesTheSameRun() {
    assertThat(trace(3)).isEqualTo(trace(3));
    assertThat(trace(3)).isNotEqualTo(trace(4));
  }

  private static List<Long> trace(long seed) {
    VirtualFleet fleet = fleet(seed);
    sendChats(fleet, 30);
    fleet.runFor(10_000_000);
    return fleet.callers().chats().stream().map(CallerRecord::endMicros).toList();
  }

  @Test
  void anEngineThatCrashesCutsNoStream() {
    VirtualFleet fleet = fleet(2);
    sendChats(fleet, 50);
    fleet.runFor(800_000);
    for (String engine : fleet.engines().keySet()) {
      if (fleet.engine(engine).running() > 0) {
        fleet.crashUpstream(engine);
        break;
      }
    }
    fleet.runFor(20_000_000);
    assertThat(fleet.callers().chats().stream().map(CallerRecord::state).distinct())
        .containsExactly(CallerRecord.State.COMPLETE);
    assertSound(fleet);
  }
}
