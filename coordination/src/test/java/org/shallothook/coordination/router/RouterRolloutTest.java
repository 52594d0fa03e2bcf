package org.shallothook.coordination.router;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.membership.EngineRole;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.request.RequestId;

/** Model version that a router uses for a team's requests while a new version is rolled out. */
final class RouterRolloutTest {
  /** Time until the first router records a version as rolled out, with a margin of one check. */
  private static final long ROLLED_OUT_MICROS =
      ServedVersions.MIGRATION_MICROS + RolloutRecorder.STABLE_MICROS + 1_000_000;

  @Test
  void servesTheEarlierVersionUntilTheNewOneIsReadyAndNeverAfter() {
    RouterHarness harness = RouterHarness.ready(1);
    ModelVersion newer = ModelVersion.of(RouterHarness.MODEL, "4");
    harness.chat("hello");
    harness.publish(RouterHarness.template("linen", RouterHarness.KEY, "4", ""));
    RequestId during = harness.chat("hello");
    harness.status("engine-1", false, RouterHarness.VERSION, newer);
    harness.chat("hello");
    harness.advance(ServedVersions.MIGRATION_MICROS);
    RequestId after = harness.chat("hello");
    harness.status("engine-1", false, RouterHarness.VERSION);
    RequestId later = harness.chat("hello");

    assertThat(harness.latestOffer(during).message().identity().modelVersion())
        .isEqualTo(RouterHarness.VERSION);
    assertThat(harness.latestOffer(after).message().identity().modelVersion()).isEqualTo(newer);
    assertThat(harness.refusal(later).get().reason()).isEqualTo(RefusalReason.WRONG_VERSION);
  }

  @Test
  void routerThatStartsDuringARolloutServesTheEarlierVersion() {
    RouterHarness harness = new RouterHarness(RouterOptions.builder());
    harness.publish(RouterHarness.template("linen", RouterHarness.KEY, "3", ""));
    harness.publish(RouterHarness.template("linen", RouterHarness.KEY, "4", ""));
    harness.addInstance("engine-1", InstanceRole.MODEL_ENGINE, "a", "");
    harness.listInstances();
    harness.status("engine-1", false, RouterHarness.VERSION);
    RequestId request = harness.chat("hello");

    assertThat(harness.latestOffer(request).message().identity().modelVersion())
        .isEqualTo(RouterHarness.VERSION);
    assertThat(harness.counter("versions.earlier-served")).isEqualTo(1);
  }

  @Test
  void conversationsMoveToANewVersionInStepWithTheEnginesAndStayThere() {
    RouterHarness harness = RouterHarness.ready(8);
    ModelVersion newer = ModelVersion.of(RouterHarness.MODEL, "4");
    harness.publish(RouterHarness.template("linen", RouterHarness.KEY, "4", ""));
    harness.status("engine-1", false, RouterHarness.VERSION, newer);
    harness.status("engine-2", false, RouterHarness.VERSION, newer);
    assertThat(migratedConversations(harness, newer)).isEmpty();
    harness.advance(ServedVersions.ENGINE_WAIT_MICROS - 1_000_000);
    assertThat(migratedConversations(harness, newer)).isEmpty();
    harness.advance(1_000_000);
    assertThat(migratedConversations(harness, newer)).isEmpty();
    harness.advance(ServedVersions.MIGRATION_MICROS);
    Set<Integer> migrated = migratedConversations(harness, newer);
    harness.status("engine-2", false, RouterHarness.VERSION);
    Set<Integer> afterwards = migratedConversations(harness, newer);

    assertThat(migrated.size()).isAtLeast(15);
    assertThat(migrated.size()).isAtMost(35);
    assertThat(afterwards).isEqualTo(migrated);
  }

  @Test
  void unreachableEngineDoesNotDelayTheMigration() {
    RouterHarness harness = RouterHarness.ready(3);
    ModelVersion newer = ModelVersion.of(RouterHarness.MODEL, "4");
    harness.publish(RouterHarness.template("linen", RouterHarness.KEY, "4", ""));
    assertThat(migratedConversations(harness, newer)).isEmpty();
    harness.send(new RouterEvent.PeerLost("engine-3"));
    harness.status("engine-1", false, RouterHarness.VERSION, newer);
    harness.status("engine-2", false, RouterHarness.VERSION, newer);
    assertThat(migratedConversations(harness, newer)).isEmpty();
    harness.advance(ServedVersions.MIGRATION_MICROS * 15 / 100);
    Set<Integer> half = migratedConversations(harness, newer);
    assertThat(half.size()).isAtLeast(35);
    assertThat(half.size()).isAtMost(65);
    harness.advance(ServedVersions.MIGRATION_MICROS);

    assertThat(migratedConversations(harness, newer)).hasSize(100);
  }

  @Test
  void aRouterThatStartsDuringAMoveIsAsFarAsTheOthers() {
    RouterHarness harness = RouterHarness.ready(2);
    long readyMicros = harness.now;
    startRollout(harness, readyMicros);
    harness.advance(ServedVersions.MIGRATION_MICROS * 15 / 100);
    RouterHarness late = RouterHarness.ready(2);
    late.now = harness.now;
    startRollout(late, readyMicros);
    Set<Integer> migrated =
        migratedConversations(harness, ModelVersion.of(RouterHarness.MODEL, "4"));

    assertThat(migrated.size()).isAtLeast(35);
    assertThat(migratedConversations(late, ModelVersion.of(RouterHarness.MODEL, "4")))
        .isEqualTo(migrated);
  }

  private static void startRollout(RouterHarness harness, long readyMicros) {
    harness.publish(RouterHarness.template("linen", RouterHarness.KEY, "4", ""));
    ModelVersion newer = ModelVersion.of(RouterHarness.MODEL, "4");
    for (String engine : List.of("engine-1", "engine-2")) {
      harness.receive(
          engine,
          new PeerMessage.SidecarStatus(
              engine,
              "e-1",
              List.of(RouterHarness.VERSION, newer),
              false,
              0,
              EngineRole.MIXED,
              List.of(readyMicros - 1, readyMicros)));
    }
  }

  @Test
  void teamsMoveOneAfterTheOther() {
    RouterHarness harness = RouterHarness.ready(1);
    ModelVersion newer = ModelVersion.of(RouterHarness.MODEL, "4");
    harness.publish(RouterHarness.template("after", "other", "3", ""));
    harness.publish(RouterHarness.template("after", "other", "4", ""));
    harness.publish(RouterHarness.template("linen", RouterHarness.KEY, "4", ""));
    harness.status("engine-1", false, RouterHarness.VERSION, newer);
    assertThat(migratedConversations(harness, newer)).isEmpty();
    harness.advance(ServedVersions.MIGRATION_MICROS / 2);
    assertThat(migratedConversations(harness, newer)).isEmpty();
    harness.advance(ServedVersions.MIGRATION_MICROS / 2);
    assertThat(migratedConversations(harness, newer)).hasSize(100);
  }

  @Test
  void nothingIsDelayedWhereAnEngineLacksTheEarlierVersion() {
    RouterHarness harness = RouterHarness.ready(2);
    ModelVersion newer = ModelVersion.of(RouterHarness.MODEL, "4");
    harness.publish(RouterHarness.template("linen", RouterHarness.KEY, "4", ""));
    harness.status("engine-1", false, newer);
    harness.status("engine-2", false, RouterHarness.VERSION);
    Set<Integer> migrated = migratedConversations(harness, newer);

    assertThat(migrated.size()).isAtLeast(35);
    assertThat(migrated.size()).isAtMost(65);
  }

  @Test
  void aVersionIsNotRecordedAsRolledOutWhileAnEngineIsUnreachable() {
    RouterHarness harness = RouterHarness.ready(2);
    ModelVersion newer = ModelVersion.of(RouterHarness.MODEL, "4");
    harness.publish(RouterHarness.template("linen", RouterHarness.KEY, "4", ""));
    harness.status("engine-1", false, RouterHarness.VERSION, newer);
    harness.send(new RouterEvent.PeerLost("engine-2"));
    harness.advance(ROLLED_OUT_MICROS);
    assertThat(harness.commands(RouterCommand.AppendLog.class)).isEmpty();

    harness.status("engine-2", false, RouterHarness.VERSION, newer);
    harness.advance(ROLLED_OUT_MICROS);
    assertThat(harness.commands(RouterCommand.AppendLog.class)).hasSize(1);
  }

  private static Set<Integer> migratedConversations(RouterHarness harness, ModelVersion version) {
    Set<Integer> migrated = new HashSet<>();
    for (int index = 0; index < 100; index++) {
      RequestId request = harness.chat("conversation " + index);
      if (harness.latestOffer(request).message().identity().modelVersion().equals(version)) {
        migrated.add(index);
      }
      harness.send(new RouterEvent.CallerGone(request));
    }
    return migrated;
  }

  @Test
  void aVersionThatIsReadyEverywhereIsRecordedAsRolledOutOnce() {
    RouterHarness harness = RouterHarness.ready(2);
    ModelVersion newer = ModelVersion.of(RouterHarness.MODEL, "4");
    harness.publish(RouterHarness.template("linen", RouterHarness.KEY, "4", ""));
    harness.status("engine-1", false, RouterHarness.VERSION, newer);
    harness.advance(ROLLED_OUT_MICROS);
    assertThat(harness.commands(RouterCommand.AppendLog.class)).isEmpty();

    harness.status("engine-2", false, RouterHarness.VERSION, newer);
    harness.advance(ROLLED_OUT_MICROS);
    assertThat(harness.commands(RouterCommand.AppendLog.class)).hasSize(1);
    assertThat(harness.counter("appends.configuration")).isEqualTo(1);
    harness.append(harness.commands(RouterCommand.AppendLog.class).get(0).payload());
    harness.status("engine-1", false, RouterHarness.VERSION);
    harness.status("engine-2", false, RouterHarness.VERSION);
    RequestId request = harness.chat("hello");

    assertThat(harness.refusal(request).get().reason()).isEqualTo(RefusalReason.WRONG_VERSION);
    harness.advance(60_000_000);
    assertThat(harness.commands(RouterCommand.AppendLog.class)).hasSize(1);
  }

  @Test
  void routersStaggerTheirRolledOutRecords() {
    RouterHarness harness = RouterHarness.ready(1);
    for (int router = 1; router < 10; router++) {
      harness.addInstance("router-0" + router, InstanceRole.ROUTER, "a", "");
    }
    harness.listInstances();
    harness.publish(RouterHarness.template("linen", RouterHarness.KEY, "4", ""));
    harness.status(
        "engine-1", false, RouterHarness.VERSION, ModelVersion.of(RouterHarness.MODEL, "4"));
    harness.advance(ROLLED_OUT_MICROS + 8 * RolloutRecorder.STAGGER_MICROS);
    assertThat(harness.commands(RouterCommand.AppendLog.class)).isEmpty();

    harness.advance(2 * RolloutRecorder.STAGGER_MICROS);
    assertThat(harness.commands(RouterCommand.AppendLog.class)).hasSize(1);
  }
}
