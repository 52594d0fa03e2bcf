package org.shallothook.coordination.router;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.message.CrashRole;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.Hint;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.router.RouterHarness.Sent;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.log.LogRecord;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.request.RequestId;

/**
 * Reactions of a router to changes of the fleet and the configuration: leaving upstreams, drains,
 * quarantines and ejections.
 */
final class RouterCoreFleetTest {
  /** Every way in which a router learns that an upstream is leaving or lost. */
  static Stream<Arguments> leavingSignals() {
    return Stream.of(
        signal("list", (harness, name) -> harness.markLeaving(name, true)),
        signal("sidecar", (harness, name) -> harness.status(name, true, RouterHarness.VERSION)),
        signal(
            "sidecar, then a lagging list",
            (harness, name) -> {
              harness.status(name, true, RouterHarness.VERSION);
              harness.listInstances();
            }),
        signal(
            "refused offer",
            (harness, name) -> {
              RequestId request = harness.chat("probe");
              while (!harness.latestOffer(request).peer().equals(name)) {
                harness.reply(
                    harness.latestOffer(request), Optional.of(RefusalReason.QUEUE_FULL), Hint.NONE);
              }
              harness.reply(
                  harness.latestOffer(request),
                  Optional.of(RefusalReason.UPSTREAM_LEAVING),
                  Hint.NONE);
            }),
        signal("lost connection", (harness, name) -> harness.send(new RouterEvent.PeerLost(name))));
  }

  private static Arguments signal(String name, BiConsumer<RouterHarness, String> action) {
    return Arguments.of(name, action);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("leavingSignals")
  void anySignalStopsNewWork(String name, BiConsumer<RouterHarness, String> action) {
    RouterHarness harness = RouterHarness.ready(3);
    action.accept(harness, "engine-2");
    harness.commands.clear();
    for (int sent = 0; sent < 50; sent++) {
      harness.chat("question " + sent);
    }

    List<Sent<PeerMessage.Offer>> offers = harness.sent(PeerMessage.Offer.class, message -> true);
    assertThat(offers).isNotEmpty();
    assertThat(offers.stream().map(Sent::peer).toList()).doesNotContain("engine-2");
  }

  @ParameterizedTest
  @CsvSource({"true", "false"})
  void unlistedUpstreamIsDroppedOnlyWhenItsSidecarIsDisconnected(boolean isConnected) {
    RouterHarness harness = RouterHarness.ready(1);
    RequestId running = harness.chat("running");
    AttemptId attempt = harness.acceptLatest(running);
    harness.unlist("engine-1");
    if (!isConnected) {
      harness.send(new RouterEvent.PeerLost("engine-1"));
    }
    RequestId request = harness.chat("hello");

    assertThat(harness.offers(request)).hasSize(isConnected ? 1 : 0);
    if (isConnected) {
      harness.tokens(attempt, 0, "Maria");
      harness.ended(attempt, 1);
      assertThat(harness.isComplete(running)).isTrue();
    }
    assertThat(harness.commands(RouterCommand.PeersChanged.class)).isEmpty();
  }

  @Test
  void upstreamIsUsedAgainOnceItsSidecarReports() {
    RouterHarness harness = RouterHarness.ready(1);
    harness.send(new RouterEvent.PeerLost("engine-1"));
    RequestId request = harness.chat("hello");
    harness.advance(1_100_000);
    assertThat(harness.sent(PeerMessage.Hello.class, message -> true)).isNotEmpty();
    assertThat(harness.offers(request)).isEmpty();

    harness.status("engine-1", false, RouterHarness.VERSION);
    harness.advance(50_000);
    assertThat(harness.offers(request)).hasSize(1);
  }

  @Test
  void statusOfAnOlderSidecarProcessIsIgnored() {
    RouterHarness harness = RouterHarness.ready(1);
    harness.send(
        new RouterEvent.PeerMessageReceived(
            new Envelope(
                "engine-1",
                0,
                1,
                new PeerMessage.SidecarStatus("engine-1", "e-0", List.of(), true, 0))));

    assertThat(harness.offers(harness.chat("hello"))).hasSize(1);
  }

  @Test
  void expiringConfigurationIsAppendedAgainAndCounted() {
    long retention = 20_000_000;
    RouterHarness harness =
        RouterHarness.ready(1, RouterOptions.builder().logRetentionMicros(retention));
    harness.advance(retention);

    assertThat(harness.commands(RouterCommand.AppendLog.class)).isNotEmpty();
    assertThat(harness.counter("appends.snapshots"))
        .isEqualTo(harness.commands(RouterCommand.AppendLog.class).size());
  }

  @Test
  void requestsWaitWhileTheConfigurationIsBehindAndAreRefusedAsNotRunAfterwards() {
    RouterHarness harness = RouterHarness.ready(2);
    harness.send(
        new RouterEvent.PeerMessageReceived(
            new Envelope("engine-1", 1, 99, new PeerMessage.Quarantine("0".repeat(32), 0))));
    RequestId request = harness.chat("hello");
    assertThat(harness.offers(request)).isEmpty();
    assertThat(harness.refusal(request)).isEmpty();

    harness.advance(1_100_000);
    assertThat(harness.refusal(request).get().reason())
        .isEqualTo(RefusalReason.CONFIGURATION_BEHIND);
    assertThat(harness.refusal(request).get().outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  @Test
  void drainRefusesNewRequestsAndEndsWithTheLastRunningOne() {
    RouterHarness harness = RouterHarness.ready(2);
    RequestId running = harness.chat("hello");
    AttemptId attempt = harness.acceptLatest(running);
    harness.send(new RouterEvent.DrainRequested());
    RequestId refused = harness.chat("late");

    assertThat(harness.refusal(refused).get().reason()).isEqualTo(RefusalReason.ROUTER_LEAVING);
    assertThat(harness.refusal(refused).get().outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(harness.core.isDrained()).isFalse();

    harness.tokens(attempt, 0, "Maria");
    harness.ended(attempt, 1);
    assertThat(harness.isComplete(running)).isTrue();
    assertThat(harness.commands(RouterCommand.Drained.class)).hasSize(1);
    assertThat(harness.core.isDrained()).isTrue();
  }

  @Test
  void teamAtItsLimitIsRefusedUntilARequestEnds() {
    RouterHarness harness = RouterHarness.ready(2);
    harness.publish(
        RouterHarness.template(
            "linen", RouterHarness.KEY, "3", "[limits]\nmaximum-concurrent-requests = 1\n"));
    RequestId first = harness.chat("one");
    RequestId second = harness.chat("two");
    harness.send(new RouterEvent.CallerGone(first));
    RequestId third = harness.chat("three");

    assertThat(harness.refusal(second).get().reason()).isEqualTo(RefusalReason.TEAM_LIMIT);
    assertThat(harness.refusal(third)).isEmpty();
  }

  @Test
  void secondCrashQuarantinesTheSuspectButNotOthersOfTheSameBatch() {
    RouterHarness harness = RouterHarness.ready(4);
    RequestId poison = harness.chat("poison");
    RequestId harmless = harness.chat("innocent");
    crash(harness, harness.acceptLatest(poison), CrashRole.PREFILLING);
    crash(harness, harness.acceptLatest(harmless), CrashRole.STREAMING);
    AttemptId harmlessRetry = harness.acceptLatest(harmless);
    harness.tokens(harmlessRetry, 0, "fine");
    harness.ended(harmlessRetry, 1);
    Sent<PeerMessage.Offer> alone = harness.latestOffer(poison);
    crash(harness, harness.accept(alone), CrashRole.ALONE);

    assertThat(alone.message().isSuspect()).isTrue();
    assertThat(harness.isComplete(harmless)).isTrue();
    Refusal refusal = harness.refusal(poison).get();
    assertThat(refusal.reason()).isEqualTo(RefusalReason.QUARANTINED);
    assertThat(refusal.outcome()).isEqualTo(Outcome.UNKNOWN);
    assertThat(harness.commands(RouterCommand.AppendLog.class)).hasSize(1);
    assertThat(
            harness.sent(PeerMessage.Quarantine.class, message -> true).stream()
                .map(Sent::peer)
                .toList())
        .contains("router-2");
    assertThat(harness.refusal(harness.chat("poison")).get().reason())
        .isEqualTo(RefusalReason.QUARANTINED);
    assertThat(harness.refusal(harness.chat("innocent"))).isEmpty();
  }

  // Guards against prompts that share a part, but are never alike, crashing engine after engine.
  @ParameterizedTest
  @ValueSource(ints = {3, 4, 8})
  void aPartThatCrashesEnginesIsQuarantined(int engines) {
    RouterHarness harness = RouterHarness.ready(engines);
    int crashes = 0;
    for (int prompt = 1; prompt <= 3; prompt++) {
      RequestId request = harness.chat("deadly document", "read", "question " + prompt);
      while (harness.refusal(request).isEmpty()) {
        Sent<PeerMessage.Offer> offer = harness.latestOffer(request);
        boolean isAlone = offer.message().isSuspect();
        crash(harness, harness.accept(offer), isAlone ? CrashRole.ALONE : CrashRole.PREFILLING);
        crashes++;
        harness.receive(
            offer.peer(),
            new PeerMessage.SidecarStatus(
                offer.peer(), "e-" + crashes, List.of(RouterHarness.VERSION), false, 0));
        harness.advance(300_000);
      }
      RequestId sound = harness.chat("other document", "read", "question " + prompt);
      AttemptId answered = harness.acceptLatest(sound);
      harness.tokens(answered, 0, "fine");
      harness.ended(answered, 1);
      harness.advance(300_000);
    }

    assertThat(crashes).isAtMost(5);
    Refusal refusal = harness.refusal(harness.chat("deadly document", "read", "question 9")).get();
    assertThat(refusal.reason()).isEqualTo(RefusalReason.QUARANTINED);
    assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(harness.refusal(harness.chat("other document", "read", "question 9"))).isEmpty();
    String fingerprint =
        harness.sent(PeerMessage.Quarantine.class, message -> true).stream()
            .map(sent -> sent.message().fingerprint())
            .filter(text -> text.startsWith("0".repeat(16)))
            .findFirst()
            .orElseThrow();
    RouterHarness other = RouterHarness.ready(engines);
    other.receive("router-2", new PeerMessage.Quarantine(fingerprint, other.now + 60_000_000));
    assertThat(other.refusal(other.chat("deadly document", "read", "question 10"))).isPresent();
  }

  private static void crash(RouterHarness harness, AttemptId attempt, CrashRole role) {
    harness.failed(attempt, RefusalReason.ENGINE_LOST, Outcome.UNKNOWN, role);
  }

  @ParameterizedTest
  @CsvSource({"true", "false"})
  void quarantineIsLearnedFromTheLogAndFromOtherRouters(boolean fromLog) {
    RouterHarness harness = RouterHarness.ready(2);
    RequestId request = harness.chat("poison");
    String fingerprint = harness.latestOffer(request).message().fingerprint();
    long until = harness.now + 60_000_000;
    if (fromLog) {
      LogRecord record = new LogRecord(0, harness.now, "quarantine " + fingerprint + " " + until);
      harness.send(new RouterEvent.LogRead(new LogPage("quarantine", 0, 1, List.of(record))));
    } else {
      harness.receive("router-2", new PeerMessage.Quarantine(fingerprint, until));
    }
    Refusal refusal = harness.refusal(harness.chat("poison")).get();
    assertThat(refusal.reason()).isEqualTo(RefusalReason.QUARANTINED);
    assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(refusal.retryAtMicros()).hasValue(until);

    harness.advance(61_000_000);
    assertThat(harness.refusal(harness.chat("poison"))).isEmpty();
  }

  @Test
  void appendOfAQuarantineIsRepeatedAfterALogOutage() {
    RouterHarness harness = RouterHarness.ready(4);
    RequestId poison = harness.chat("poison");
    crash(harness, harness.acceptLatest(poison), CrashRole.PREFILLING);
    crash(harness, harness.acceptLatest(poison), CrashRole.ALONE);
    RouterCommand.AppendLog append = harness.commands(RouterCommand.AppendLog.class).get(0);
    harness.send(new RouterEvent.LogAppendFailed(append.token(), true));
    harness.advance(6_000_000);

    List<RouterCommand.AppendLog> appends = harness.commands(RouterCommand.AppendLog.class);
    assertThat(appends).hasSize(2);
    assertThat(appends.get(1).payload()).isEqualTo(append.payload());
    assertThat(harness.counter("appends.quarantine")).isEqualTo(2);
  }

  @Test
  void slowUpstreamIsEjectedUntilItsDeadline() {
    RouterHarness harness = RouterHarness.ready(4);
    int sent = 0;
    while (harness.counter("ejections") == 0 && sent < 400) {
      RequestId request = harness.chat("question " + sent++);
      Sent<PeerMessage.Offer> offer = spreadOffer(harness, request);
      AttemptId attempt = harness.accept(offer);
      harness.now += offer.peer().equals("engine-1") ? 2_000_000 : 10_000;
      harness.tokens(attempt, 0, "a");
      harness.ended(attempt, 1);
    }
    assertThat(harness.counter("ejections")).isEqualTo(1);
    assertThat(stateOf(harness, "engine-1")).isEqualTo("ejected");
    assertThat(spreadPeers(harness)).doesNotContain("engine-1");

    harness.advance(11_000_000);
    assertThat(stateOf(harness, "engine-1")).isEqualTo("ready");
  }

  @Test
  void lateFirstTokensBehindALongQueueCauseNoEjection() {
    RouterHarness harness = RouterHarness.ready(4);
    for (int sent = 0; sent < 100; sent++) {
      Sent<PeerMessage.Offer> offer = spreadOffer(harness, harness.chat("question " + sent));
      int blocks = RouterHarness.blocksOf(offer.message());
      harness.reply(offer, Optional.empty(), new Hint(blocks, 60_000, 1, 0));
      harness.now += offer.peer().equals("engine-1") ? 2_000_000 : 70_000;
      harness.tokens(offer.message().attempt(), 0, "a");
      harness.ended(offer.message().attempt(), 1);
    }

    assertThat(harness.counter("ejections")).isEqualTo(0);
  }

  /**
   * Refuses 0 to 3 offers, depending on the request's identifier, so that all engines receive work.
   */
  private static Sent<PeerMessage.Offer> spreadOffer(RouterHarness harness, RequestId request) {
    int refusals = request.value().hashCode() & 3;
    for (int refused = 0; refused < refusals; refused++) {
      harness.reply(harness.latestOffer(request), Optional.of(RefusalReason.QUEUE_FULL), Hint.NONE);
    }
    return harness.latestOffer(request);
  }

  private static List<String> spreadPeers(RouterHarness harness) {
    harness.commands.clear();
    for (int sent = 0; sent < 40; sent++) {
      spreadOffer(harness, harness.chat("after " + sent));
    }
    return harness.sent(PeerMessage.Offer.class, message -> true).stream().map(Sent::peer).toList();
  }

  private static String stateOf(RouterHarness harness, String name) {
    return harness.core.status().upstreams().stream()
        .filter(upstream -> upstream.name().equals(name))
        .findFirst()
        .orElseThrow()
        .state();
  }
}
