package org.shallothook.coordination.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.shallothook.coordination.fake.FakeLog;
import org.shallothook.coordination.fake.VirtualTime;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.configuration.ConfigurationState;

final class ConfigurationReplicaTest {
  private static final long START_MICROS = 1_000_000_000L;
  private static final long SECOND_MICROS = 1_000_000;
  private static final int ROUTERS = 3;
  private static final int SIDECARS = 12;

  private final SplittableRandom random = new SplittableRandom(7);
  private final VirtualTime time = new VirtualTime(START_MICROS);
  private final FakeLog log = new FakeLog(time, random.split());
  private final Map<String, ReplicaNode> nodes = ReplicaNode.newNodes();

  private static String source(String version) {
    return "[team]\nname = a\nkey-sha256 = %s\nmodel = m\nversion = %s"
        .formatted("a".repeat(64), version);
  }

  private static ChangeRequest request(String change, String version) {
    return new ChangeRequest(change, "a", Optional.of(source(version)), Optional.empty());
  }

  private boolean isIdle;

  private ReplicaNode node(ConfigurationOptions options) {
    return new ReplicaNode(options, time, log, nodes);
  }

  private void startFleet() {
    for (int i = 0; i < ROUTERS; i++) {
      node(ConfigurationOptions.ofRouter("router-" + i));
    }
    for (int i = 0; i < SIDECARS; i++) {
      node(ConfigurationOptions.ofSidecar("sidecar-" + i));
    }
    time.schedule(0, this::traffic);
    run(5 * SECOND_MICROS);
  }

  /** Simulates traffic with empty messages, as any message carries the offset of its sender. */
  private void traffic() {
    if (isIdle) {
      return;
    }
    String router = "router-" + random.nextInt(ROUTERS);
    String sidecar = "sidecar-" + random.nextInt(SIDECARS);
    nodes.get(router).sendTo(sidecar, new PeerMessage.ConfigurationRecords(List.of()));
    nodes.get(sidecar).sendTo(router, new PeerMessage.ConfigurationRecords(List.of()));
    time.schedule(20_000, this::traffic);
  }

  private void run(long micros) {
    time.runUntil(time.now() + micros);
  }

  /** Faults during a publication, each with the time within which the change must be in force. */
  private enum Fault {
    NONE(2),
    DOMAIN_CUT_FROM_LOG(8),
    LOG_DOWN_AFTERWARDS(8);

    private final long boundSeconds;

    Fault(long boundSeconds) {
      this.boundSeconds = boundSeconds;
    }
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void anAcceptedChangeIsInForceEverywhereWithinItsBound(Fault fault) {
    startFleet();
    assertInForceWithinBound(fault);
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void anAcceptedChangeReachesIdleProcessesWithinItsBound(Fault fault) {
    startFleet();
    isIdle = true;
    assertInForceWithinBound(fault);
  }

  private void assertInForceWithinBound(Fault fault) {
    if (fault == Fault.DOMAIN_CUT_FROM_LOG) {
      nodes.forEach((name, node) -> node.isCutFromLog = name.endsWith("2"));
    }
    ReplicaNode publisher = nodes.get("router-0");
    publisher.publish(request("c1", "1"), 5 * SECOND_MICROS);
    while (publisher.results.isEmpty()) {
      run(1_000);
    }
    assertThat(publisher.results).containsExactly(new PublicationResult.Accepted(0));
    if (fault == Fault.LOG_DOWN_AFTERWARDS) {
      log.downUntilMicros = Long.MAX_VALUE;
    }
    long acceptedMicros = time.now();
    while (nodes.values().stream().anyMatch(node -> node.replica().offset() < 1)) {
      run(10_000);
      assertThat(time.now() - acceptedMicros).isLessThan(fault.boundSeconds * SECOND_MICROS);
    }
    System.out.println(
        fault + " in force everywhere after micros " + (time.now() - acceptedMicros));
  }

  @Test
  void aRouterStartedInALogOutageGetsTheConfigurationFromItsPeers() {
    startFleet();
    nodes.get("router-1").publish(request("c1", "1"), 5 * SECOND_MICROS);
    run(3 * SECOND_MICROS);
    log.downUntilMicros = Long.MAX_VALUE;
    nodes.get("router-0").restart();
    assertThat(nodes.get("router-0").replica().isBehind()).isTrue();
    run(3 * SECOND_MICROS);
    assertThat(nodes.get("router-0").replica().isBehind()).isFalse();
    assertThat(nodes.get("router-0").replica().state())
        .isEqualTo(nodes.get("router-1").replica().state());
  }

  @Test
  void aLongTextReachesAPeerThatRequestsIt() {
    startFleet();
    String text = "\n[rulebook]\n" + "text = Track 7 is closed on Sundays.\n".repeat(20_000);
    ChangeRequest request =
        new ChangeRequest("c1", "a", Optional.of(source("1") + text), Optional.empty());
    nodes.get("router-1").publish(request, 5 * SECOND_MICROS);
    run(3 * SECOND_MICROS);
    log.downUntilMicros = Long.MAX_VALUE;
    nodes.get("sidecar-3").restart();
    run(3 * SECOND_MICROS);
    ConfigurationState reached = nodes.get("sidecar-3").replica().state();
    assertThat(ConfigurationState.ofSnapshot(reached.offset(), reached.snapshot()))
        .hasValue(nodes.get("router-1").replica().state());
  }

  @Test
  void aLostResponseIsResolvedByReadingBack() {
    startFleet();
    log.lostAnswers = 1;
    nodes.get("router-0").publish(request("c1", "1"), 5 * SECOND_MICROS);
    run(SECOND_MICROS);
    assertThat(nodes.get("router-0").results).containsExactly(new PublicationResult.Accepted(0));
  }

  @Test
  void ofTwoConcurrentChangesOneWinsAndTheOtherReportsWhich() {
    startFleet();
    nodes.get("router-0").publish(request("c1", "1"), 5 * SECOND_MICROS);
    nodes.get("router-1").publish(request("c2", "2"), 5 * SECOND_MICROS);
    run(3 * SECOND_MICROS);
    List<PublicationResult> results =
        List.of(nodes.get("router-0").results.get(0), nodes.get("router-1").results.get(0));
    PublicationResult lost =
        results.get(0) instanceof PublicationResult.Conflict ? results.get(0) : results.get(1);
    String winner = lost == results.get(0) ? "'c2'" : "'c1'";
    assertThat(results).contains(new PublicationResult.Accepted(0));
    assertThat(((PublicationResult.Conflict) lost).detail()).contains(winner);
  }

  @Test
  void aPublicationInAnOutageEndsUndecidedAndReportsThatNothingTookEffect() {
    startFleet();
    log.downUntilMicros = Long.MAX_VALUE;
    nodes.get("router-0").publish(request("c1", "1"), 2 * SECOND_MICROS);
    run(3 * SECOND_MICROS);
    assertThat(nodes.get("router-0").results)
        .containsExactly(new PublicationResult.Undecided(false));
  }

  @Test
  void snapshotsOutliveTheRetentionOfTheLog() {
    log.retentionMicros = 60 * SECOND_MICROS;
    ReplicaNode writer =
        node(new ConfigurationOptions("writer", SECOND_MICROS, log.retentionMicros, true));
    run(3 * SECOND_MICROS);
    writer.publish(request("c1", "1"), 5 * SECOND_MICROS);
    run(600 * SECOND_MICROS);
    ReplicaNode newcomer =
        node(new ConfigurationOptions("newcomer", SECOND_MICROS, log.retentionMicros, false));
    run(3 * SECOND_MICROS);
    assertThat(newcomer.replica().state().team("a")).isPresent();
    assertThat(newcomer.replica().isBehind()).isFalse();
    assertThat(writer.replica().snapshotAppends()).isAtMost(40);
  }
}
