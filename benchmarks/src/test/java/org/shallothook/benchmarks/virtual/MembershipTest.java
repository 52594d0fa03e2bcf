package org.shallothook.benchmarks.virtual;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.router.ChatMessage;
import org.shallothook.coordination.router.RouterStatus;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.PriorityClass;

/** Upstreams that leave, and instances that come back at the same address. */
final class MembershipTest {
  private static final TeamSpec TEAM =
      new TeamSpec(
          "guild",
          ModelVersion.of("linen", "v1"),
          PriorityClass.ORDINARY,
          "rule ".repeat(2_000),
          Map.of(),
          "",
          false);
  private static final String UPSTREAM = "engine-1";
  private static final long NO_NEW_WORK_MICROS = 3_000_000;
  private static final long CHAT_INTERVAL_MICROS = 20_000;
  private static final int SEEDS = 5;

  /** Who says that the upstream is leaving. */
  private enum Word {
    SIDECAR {
      @Override
      void say(VirtualFleet fleet) {
        holdListBack(fleet);
        fleet.drain(fleet.sidecar(UPSTREAM));
      }
    },
    ENGINE {
      @Override
      void say(VirtualFleet fleet) {
        holdListBack(fleet);
        fleet.setLeaving(UPSTREAM, true);
      }
    },
    LIST {
      @Override
      void say(VirtualFleet fleet) {
        fleet.platform().instances().setLeaving(UPSTREAM, true, fleet.nowMicros());
      }
    };

    abstract void say(VirtualFleet fleet);

    /** The list goes on saying that the upstream is live. */
    private static void holdListBack(VirtualFleet fleet) {
      fleet.platform().instances().disturbances().setOutageUntil(Long.MAX_VALUE);
    }
  }

  private static VirtualFleet fleetWithTraffic(long seed) {
    VirtualFleet fleet = VirtualFleet.builder().seed(seed).engines(3).team(TEAM).build();
    fleet.runFor(2_000_000);
    for (int chat = 0; chat < 500; chat++) {
      String question = "question " + chat + " answer-tokens:16";
      ChatCall call =
          ChatCall.of(
              TEAM.key(), "linen", Optional.empty(), List.of(new ChatMessage("user", question)));
      fleet.at(fleet.nowMicros() + chat * CHAT_INTERVAL_MICROS, () -> fleet.chat(call));
    }
    fleet.runFor(1_000_000);
    return fleet;
  }

  @ParameterizedTest
  @EnumSource(Word.class)
  void aLeavingUpstreamGetsNoNewWorkAfterThreeSeconds(Word word) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = fleetWithTraffic(seed);
      long leaving = fleet.nowMicros();
      word.say(fleet);
      fleet.runFor(12_000_000);

      List<Long> starts =
          fleet.callers().chats().stream()
              .flatMap(chat -> fleet.ledger().executions(chat.request()).stream())
              .filter(execution -> execution.upstream().equals(UPSTREAM))
              .map(Execution::atMicros)
              .toList();
      assertThat(starts.stream().anyMatch(start -> start < leaving)).isTrue();
      assertWithMessage("seed %s", seed)
          .that(starts.stream().filter(start -> start > leaving + NO_NEW_WORK_MICROS).toList())
          .isEmpty();
      assertThat(fleet.callers().chats().stream().map(CallerRecord::state).distinct())
          .containsExactly(CallerRecord.State.COMPLETE);
      assertThat(FleetInvariants.violations(fleet, Set.of())).isEmpty();
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void anInstanceThatIsRestartedAtItsAddressIsANewIncarnation(boolean withEngine) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      VirtualFleet fleet = fleetWithTraffic(seed);
      long earlier = fleet.sidecar(UPSTREAM).incarnation();
      String earlierEngine = engineSeenBy(fleet);
      if (withEngine) {
        fleet.crashUpstream(UPSTREAM);
      }
      fleet.restart(fleet.sidecar(UPSTREAM), 300_000);
      fleet.runFor(12_000_000);

      assertThat(fleet.sidecar(UPSTREAM).incarnation()).isGreaterThan(earlier);
      assertThat(engineSeenBy(fleet)).isEqualTo(fleet.engine(UPSTREAM).incarnation());
      assertThat(engineSeenBy(fleet).equals(earlierEngine)).isEqualTo(!withEngine);
      assertThat(fleet.callers().chats().stream().map(CallerRecord::state).distinct())
          .containsExactly(CallerRecord.State.COMPLETE);
      assertThat(FleetInvariants.violations(fleet, Set.of())).isEmpty();
    }
  }

  private static String engineSeenBy(VirtualFleet fleet) {
    return fleet.router("router-1").core().status().upstreams().stream()
        .filter(upstream -> upstream.name().equals(UPSTREAM))
        .map(RouterStatus.UpstreamView::engineIncarnation)
        .findFirst()
        .orElse("");
  }
}
