package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.quarantine.RequestSignature;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.RefusalReason;

/** Covers requests from their arrival to their single final response, without sockets. */
final class ForwardCoreTest {
  private final ForwardHarness harness = ForwardHarness.ready(3, 3);

  @Test
  void aRouterWithoutConfigurationSaysThatTheRequestHasNotRun() {
    ForwardHarness empty = new ForwardHarness();
    long request = empty.submitCall("/book/1");
    assertThat(empty.refusal(request).get().reason()).isEqualTo(RefusalReason.CONFIGURATION_BEHIND);
    assertThat(empty.core.isReady()).isFalse();
  }

  @ParameterizedTest
  @CsvSource({"/book/1, unknown, UNKNOWN_KEY", "/none/1, key-1, NOT_FOUND"})
  void requestsThatTheConfigurationDoesNotAllowAreRefused(
      String target, String key, RefusalReason reason) {
    long request = harness.request(target, Optional.of(key), Optional.empty());
    assertThat(harness.refusal(request).get().reason()).isEqualTo(reason);
  }

  @ParameterizedTest
  @CsvSource({"/book/1, unknown", "/none/1, key-1"})
  void aRouterWithoutTheRegistryAsksForARetryInsteadOfDenying(String target, String key) {
    harness.handle(new ForwardEvent.RegistryReachable(false));
    long request = harness.request(target, Optional.of(key), Optional.empty());
    assertThat(harness.refusal(request).get().reason())
        .isEqualTo(RefusalReason.CONFIGURATION_BEHIND);
  }

  @Test
  void anOlderConfigurationIsIgnored() {
    harness.publish(5);
    int before = harness.commands.size();
    harness.publish(4);
    assertThat(harness.commands).hasSize(before);
  }

  @Test
  void aCompleteResponseIsRelayed() {
    long request = harness.submitCall("/book/1");
    harness.respond(request, 200);
    harness.complete(request);
    assertThat(harness.commands).contains(new ForwardCommand.Relay(request, 1, Optional.empty()));
    assertThat(harness.core.openRequests()).isEqualTo(0);
  }

  @Test
  void aDispatchNamesTheTeamTheVersionAndTheCacheSalt() {
    long shared = harness.submitLongPrompt("north");
    Dispatch dispatch = harness.sent(shared).get().dispatch();
    assertThat(dispatch.team()).hasValue("parish");
    assertThat(dispatch.expectedVersion()).hasValue(1L);
    assertThat(dispatch.cacheSalt()).hasValue(ForwardHarness.SHARED_SCOPE);
  }

  @Test
  void anIsolatedTeamSharesNoCache() {
    long request =
        harness.request(
            "/ask/1",
            Optional.of(ForwardHarness.ISOLATED_KEY),
            Optional.of(ForwardHarness.prompt("north", 6_000, 2_000)));
    assertThat(harness.sent(request).get().dispatch().cacheSalt()).hasValue("linen/guild/1");
  }

  @Test
  void anUnsafeRequestWhoseConnectionBreaksIsNotSentAgain() {
    long request = harness.submitCall("/book/1");
    harness.breakConnection(request, Optional.empty());
    assertThat(harness.sends(request)).isEqualTo(1);
    assertThat(harness.refusal(request).get().reason()).isEqualTo(RefusalReason.CONNECTION_LOST);
    assertThat(harness.refusal(request).get().outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  @Test
  void anUnsafeRequestThatWasNotSentGoesToAnotherServer() {
    long request = harness.submitCall("/book/1");
    String first = harness.sent(request).get().dispatch().server();
    harness.failToSend(request);
    assertThat(harness.sent(request).get().dispatch().server()).isNotEqualTo(first);
  }

  @Test
  void aRejectedUnsafeRequestGoesToAnotherServer() {
    long request = harness.submitCall("/book/1");
    String first = harness.sent(request).get().dispatch().server();
    harness.reject(request, 503);
    assertThat(harness.sent(request).get().dispatch().server()).isNotEqualTo(first);
  }

  @Test
  void afterManyRejectionsTheRefusalSaysNotRunAndWhenToRetry() {
    long request = harness.submitCall("/book/1");
    for (int rejection = 0; rejection < 20 && harness.refusal(request).isEmpty(); rejection++) {
      harness.reject(request, 503);
      harness.advance(20_000);
    }
    assertThat(harness.refusal(request).get().outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(harness.refusal(request).get().retryAtMicros()).isPresent();
  }

  @ParameterizedTest
  @ValueSource(ints = {500, 502, 504})
  void aFailedSafeRequestIsRetriedOnce(int status) {
    long request = harness.submitCall("/read/1");
    harness.respond(request, status);
    assertThat(harness.sends(request)).isEqualTo(2);
    harness.respond(request, status);
    assertThat(harness.commands).contains(new ForwardCommand.Relay(request, 2, Optional.empty()));
  }

  @Test
  void aFailedUnsafeRequestRelaysTheServersResponse() {
    long request = harness.submitCall("/book/1");
    harness.respond(request, 500);
    assertThat(harness.commands).contains(new ForwardCommand.Relay(request, 1, Optional.empty()));
  }

  @Test
  void aBrokenStreamIsResumedAtAnotherServerAfterItsLastEvent() {
    long request = harness.submitLongPrompt("north");
    String first = harness.sent(request).get().dispatch().server();
    harness.respond(request, 200);
    harness.breakConnection(request, Optional.of(7L));
    Dispatch second = harness.sent(request).get().dispatch();
    assertThat(second.server()).isNotEqualTo(first);
    assertThat(second.resumesAfter()).hasValue(7L);
  }

  @Test
  void aBrokenStreamThatIsNotResumableEndsForTheCaller() {
    long request = harness.submitShortPrompt("north");
    harness.respond(request, 200);
    harness.breakConnection(request, Optional.of(7L));
    assertThat(harness.sends(request)).isEqualTo(1);
    assertThat(harness.isBrokenOff(request)).isTrue();
  }

  // Guards against an error reaching the caller in the middle of a stream that has begun.
  @ParameterizedTest
  @ValueSource(ints = {302, 404, 500, 503})
  void anErrorOfTheNextServerBreaksTheStreamOff(int status) {
    long request = harness.submitLongPrompt("north");
    harness.respond(request, 200);
    harness.breakConnection(request, Optional.of(7L));
    harness.respond(request, status);
    assertThat(harness.isBrokenOff(request)).isTrue();
    assertThat(
            harness.commands.stream()
                .anyMatch(
                    command ->
                        command instanceof ForwardCommand.Relay relay && relay.attempt() == 2))
        .isFalse();
  }

  @Test
  void aStreamIsNotResumedOnMoreServersThanItsRouteAllows() {
    long request = harness.submitLongPrompt("north");
    harness.respond(request, 200);
    harness.breakConnection(request, Optional.of(3L));
    harness.respond(request, 200);
    harness.breakConnection(request, Optional.of(5L));
    assertThat(harness.sends(request)).isEqualTo(2);
    assertThat(harness.isBrokenOff(request)).isTrue();
  }

  @Test
  void atTheDeadlineTheAttemptIsDroppedAndTheCallerRefused() {
    long request = harness.submitCall("/book/1");
    harness.advance(790_000);
    assertThat(harness.refusal(request)).isEmpty();
    harness.advance(40_000);
    assertThat(harness.commands).contains(new ForwardCommand.Drop(request, 1));
    assertThat(harness.refusal(request).get().reason()).isEqualTo(RefusalReason.DEADLINE_PASSED);
  }

  @Test
  void theAttemptIsDroppedWhenTheCallerDisconnects() {
    long request = harness.submitCall("/book/1");
    harness.handle(new ForwardEvent.CallerGone(request));
    assertThat(harness.commands).contains(new ForwardCommand.Drop(request, 1));
    assertThat(harness.core.openRequests()).isEqualTo(0);
    assertThat(harness.refusal(request)).isEmpty();
  }

  @Test
  void aRepeatableRequestIsRetriedAwayFromASilentServer() {
    long request = harness.submitCall("/read/1");
    String first = harness.sent(request).get().dispatch().server();
    harness.advance(280_000);
    assertThat(harness.sends(request)).isEqualTo(1);
    harness.advance(60_000);
    assertThat(harness.sent(request).get().dispatch().server()).isNotEqualTo(first);
    assertThat(harness.commands).contains(new ForwardCommand.Drop(request, 1));
  }

  @Test
  void anUnsafeRequestWaitsForItsServerUntilTheDeadline() {
    long request = harness.submitCall("/book/1");
    harness.advance(780_000);
    assertThat(harness.sends(request)).isEqualTo(1);
  }

  @Test
  void aLeavingRouterRefusesNewRequestsAsNotRun() {
    harness.handle(new ForwardEvent.Leaving(harness.now(), harness.now() + 5_000_000));
    long request = harness.submitCall("/book/1");
    assertThat(harness.refusal(request).get().reason()).isEqualTo(RefusalReason.ROUTER_LEAVING);
    assertThat(harness.refusal(request).get().outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  @Test
  void aLeavingRouterWithStreamsAcceptsRequestsThatEndBeforeIt() {
    long stream = harness.submitLongPrompt("north");
    harness.handle(new ForwardEvent.Leaving(harness.now(), harness.now() + 2_000_000));
    assertThat(harness.sent(harness.submitCall("/book/1"))).isPresent();
    assertThat(harness.refusal(harness.submitLongPrompt("south"))).isPresent();
    harness.advance(1_300_000);
    assertThat(harness.refusal(harness.submitCall("/book/2"))).isPresent();
    harness.respond(stream, 200);
    harness.complete(stream);
    assertThat(harness.refusal(harness.submitCall("/book/3"))).isPresent();
  }

  @Test
  void withoutAnyServerARequestIsRefusedSoonAsNotRun() {
    ForwardHarness none = ForwardHarness.ready(0, 0);
    long request = none.submitCall("/book/1");
    none.advance(100_000);
    assertThat(none.refusal(request).get().reason()).isEqualTo(RefusalReason.NO_UPSTREAM);
    assertThat(none.refusal(request).get().outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  @Test
  void aRequestThatWaitsForAServerIsSentWhenOneIsListed() {
    ForwardHarness none = ForwardHarness.ready(0, 0);
    long request = none.submitCall("/book/1");
    none.handle(
        new ForwardEvent.ServersRead(List.of(ForwardHarness.service("service-1", 1)), false));
    assertThat(none.sent(request)).isPresent();
  }

  @Test
  void nothingNewIsSentToALeavingServer() {
    ForwardHarness one = ForwardHarness.ready(0, 1);
    one.handle(
        new ForwardEvent.ServersRead(
            List.of(ForwardHarness.leaving(ForwardHarness.service("service-1", 1))), false));
    assertThat(one.sent(one.submitCall("/book/1"))).isEmpty();
    one.handle(
        new ForwardEvent.ServersRead(List.of(ForwardHarness.service("service-1", 1)), false));
    assertThat(one.sent(one.submitCall("/book/1"))).isEmpty();
  }

  @Test
  void aServerRemovedAfterAnOutageStaysUsableForAGracePeriod() {
    ForwardHarness one = ForwardHarness.ready(0, 1);
    one.handle(new ForwardEvent.RegistryReachable(false));
    one.handle(new ForwardEvent.RegistryReachable(true));
    one.handle(new ForwardEvent.ServerRemoved("service-1"));
    assertThat(one.sent(one.submitCall("/book/1"))).isPresent();
    one.advance(2_100_000);
    assertThat(one.sent(one.submitCall("/book/2"))).isEmpty();
  }

  @Test
  void aServerRemovedWithoutAnOutageIsNoLongerUsed() {
    ForwardHarness one = ForwardHarness.ready(0, 1);
    one.handle(new ForwardEvent.ServerRemoved("service-1"));
    assertThat(one.sent(one.submitCall("/book/1"))).isEmpty();
  }

  @Test
  void aRequestThatCrashedThreeServersIsQuarantined() {
    ForwardHarness many = ForwardHarness.ready(1, 0);
    for (int crash = 0; crash < 3; crash++) {
      long request = many.submitLongPrompt("poison");
      String server = many.serverOf(request);
      many.breakConnection(request, Optional.empty());
      many.handle(new ForwardEvent.ServerChecked(server, true));
      many.restart(server, crash);
      many.advance(3_000_000);
    }
    long last = many.submitLongPrompt("poison");
    assertThat(many.refusal(last).get().reason()).isEqualTo(RefusalReason.CRASHES_UPSTREAMS);
  }

  @Test
  void aSuccessfulResponseClearsEarlierCrashes() {
    for (int crash = 0; crash < 3; crash++) {
      announceCrash("/read/1", "crash-" + crash);
    }
    assertThat(harness.refusal(harness.submitCall("/read/1"))).isPresent();
    announceCrash("/read/2", "other-crash-1");
    long answered = harness.submitCall("/read/2");
    harness.respond(answered, 200);
    harness.complete(answered);
    announceCrash("/read/2", "other-crash-2");
    announceCrash("/read/2", "other-crash-3");
    assertThat(harness.refusal(harness.submitCall("/read/2"))).isEmpty();
  }

  private void announceCrash(String target, String crash) {
    harness.handle(
        new ForwardEvent.CrashAnnounced(new RequestSignature(target.hashCode(), List.of()), crash));
    harness.advance(300_000);
  }
}
