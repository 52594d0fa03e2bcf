package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.shallothook.coordination.forward.LimitedFleet.MILLI;
import static org.shallothook.coordination.forward.LimitedFleet.SECOND;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;

/** Covers limits that servers state for the requests of all routers together. */
final class ServerLimitTest {
  private static final String LIMITED = "service-1";

  private static void assertKept(LimitedFleet fleet, String server) {
    LimitedFleet.Excess worst = fleet.worstExcess(server);
    assertWithMessage("requests to %s in 4 s, %s allowed", server, worst.allowed())
        .that((double) worst.requests())
        .isAtMost(worst.allowed());
  }

  // Guards against a server that states a limit getting more than that from all routers together.
  @ParameterizedTest
  @CsvSource({
    "1, 1, 1",
    "2, 4, 1",
    "3, 4, 3.9",
    "4, 4, 0",
    "5, 12, 1",
    "6, 12, 0.2",
    "7, 12, 40",
    "8, 30, 1",
    "9, 30, 3",
    "10, 4, 150",
    "11, 30, 150",
  })
  void allRoutersTogetherKeepToTheLimitOfAServer(long seed, int routers, double limit) {
    LimitedFleet fleet = new LimitedFleet(routers, 4, seed);
    long start = fleet.now();
    fleet.submitCalls(Math.max(60, 8 * limit), start + 30 * SECOND);
    fleet.runUntil(start + 3 * SECOND);

    fleet.limit(LIMITED, limit);
    fleet.runUntil(start + 30 * SECOND);

    assertKept(fleet, LIMITED);
  }

  // Guards against the limit being exceeded where no other server could take the requests.
  @ParameterizedTest
  @CsvSource({"1, 4, 1", "2, 12, 1", "3, 12, 5", "4, 4, 20", "5, 30, 2", "6, 4, 0"})
  void theLimitsOfAllServersAreKeptWithoutMessagesBetweenRouters(
      long seed, int routers, double limit) {
    LimitedFleet fleet = new LimitedFleet(routers, 3, seed);
    fleet.disconnectRouters();
    long start = fleet.now();
    fleet.submitCalls(200, start + 30 * SECOND);
    fleet.runUntil(start + 3 * SECOND);

    for (int server = 1; server <= 3; server++) {
      fleet.limit("service-" + server, limit);
    }
    fleet.runUntil(start + 30 * SECOND);

    for (int server = 1; server <= 3; server++) {
      assertKept(fleet, "service-" + server);
    }
  }

  // Guards against a limited server idling: its limit is what it can take, not a reason to avoid
  // it.
  @ParameterizedTest
  @CsvSource({"1, 1, 2", "2, 4, 1", "3, 4, 5", "4, 12, 3", "5, 12, 40", "6, 4, 60"})
  void aLimitedServerGetsMostOfWhatItTakesUnderLoad(long seed, int routers, double limit) {
    LimitedFleet fleet = new LimitedFleet(routers, 1, seed);
    long start = fleet.now();
    fleet.limit(LIMITED, limit);
    fleet.submitCalls(30 + 6 * limit, start + 40 * SECOND);
    fleet.runUntil(start + 40 * SECOND);

    long requests = fleet.arrivalsAt(LIMITED, start + 10 * SECOND, start + 40 * SECOND);
    assertThat((double) requests).isAtLeast(0.7 * 30 * limit);
  }

  // Guards against a limit that outlives the server's statement, also where nobody could send.
  @ParameterizedTest
  @CsvSource({"1, 1, 1", "2, 4, 1", "3, 4, 0", "4, 12, 0.2", "5, 12, 40"})
  void aLimitThatIsNoLongerStatedEnds(long seed, int routers, double limit) {
    LimitedFleet fleet = new LimitedFleet(routers, 2, seed);
    long start = fleet.now();
    fleet.limit(LIMITED, limit);
    fleet.submitCalls(60, start + 40 * SECOND);
    fleet.runUntil(start + 10 * SECOND);

    fleet.unlimit(LIMITED);
    fleet.runUntil(start + 40 * SECOND);

    long requests = fleet.arrivalsAt(LIMITED, start + 30 * SECOND, start + 40 * SECOND);
    assertThat(requests).isAtLeast(200);
  }

  @Test
  void aRestartEndsALimit() {
    LimitedFleet fleet = new LimitedFleet(4, 2, 1);
    long start = fleet.now();
    fleet.limit(LIMITED, 0);
    fleet.submitCalls(60, start + 20 * SECOND);
    fleet.runUntil(start + 4 * SECOND);

    fleet.restart(LIMITED);
    long restarted = fleet.now();
    fleet.runUntil(start + 20 * SECOND);

    assertThat(fleet.arrivalsAt(LIMITED, restarted, restarted + 2 * SECOND)).isAtLeast(30);
  }

  // Guards against shares that add up to more than the limit while routers or the limit change.
  @ParameterizedTest
  @CsvSource({"1, 2, 2, 2", "2, 40, 1, 5", "3, 1, 30, 5", "4, 12, 12, 20"})
  void theLimitIsKeptWhileItAndTheRoutersChange(
      long seed, double limit, double laterLimit, int addedRouters) {
    LimitedFleet fleet = new LimitedFleet(4, 2, seed);
    long start = fleet.now();
    fleet.submitCalls(150, start + 30 * SECOND);
    fleet.runUntil(start + 2 * SECOND);
    fleet.limit(LIMITED, limit);
    fleet.runUntil(start + 10 * SECOND);

    for (int router = 0; router < addedRouters; router++) {
      fleet.addRouter();
    }
    fleet.limit(LIMITED, laterLimit);
    fleet.runUntil(start + 30 * SECOND);

    assertKept(fleet, LIMITED);
  }

  // Guards against requests that wait in vain although it is known that no server will take them.
  @Test
  void requestsBeyondTheLimitsOfAllServersAreRefusedOnArrival() {
    LimitedFleet fleet = new LimitedFleet(1, 2, 1);
    long start = fleet.now();
    fleet.limit("service-1", 1);
    fleet.limit("service-2", 1);
    fleet.submitCalls(40, start + 10 * SECOND);
    fleet.runUntil(start + 10 * SECOND + SECOND);

    fleet.submit(0);
    fleet.submit(0);
    long request = fleet.submit(0);

    Refusal refusal = fleet.refusals.get(request);
    assertThat(refusal.reason()).isEqualTo(RefusalReason.UPSTREAM_LIMIT);
    assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
    long retryAt = refusal.retryAtMicros().orElseThrow();
    assertThat(retryAt).isGreaterThan(fleet.now() + 100 * MILLI);
    fleet.runUntil(retryAt + 40 * MILLI);
    assertThat(fleet.refusals).doesNotContainKey(fleet.submit(0));
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 12})
  void announcementsAreBoundedWhileTheLimitChangesWithEachResponse(int routers) {
    LimitedFleet fleet = new LimitedFleet(routers, 1, 1);
    long start = fleet.now();
    fleet.submitCalls(100, start + 10 * SECOND);
    for (int step = 0; step < 500; step++) {
      fleet.limit(LIMITED, 200 + step % 7);
      fleet.runUntil(fleet.now() + 20 * MILLI);
    }
    long perRouter = fleet.announcements() / routers;
    assertThat(perRouter).isAtMost(110);
  }

  // Guards against a limit of an earlier incarnation, announced late, holding for the present one.
  @Test
  void anAnnouncedLimitOfAnotherIncarnationIsIgnored() {
    ForwardHarness harness = ForwardHarness.ready(0, 1);

    harness.handle(new ForwardEvent.LimitAnnounced(LIMITED, "0", Optional.of(0.0), "router-2"));
    assertThat(harness.sent(harness.submitCall("/read/1"))).isPresent();

    harness.handle(new ForwardEvent.LimitAnnounced(LIMITED, "1", Optional.of(0.0), "router-2"));
    assertThat(harness.sent(harness.submitCall("/read/2"))).isEmpty();
  }

  @Test
  void anUnreadableLimitChangesNothing() {
    ForwardHarness harness = ForwardHarness.ready(0, 1);
    long first = harness.submitCall("/read/1");
    harness.respond(first, ForwardHarness.stating(LimitStatement.UNREADABLE));
    harness.complete(first);

    assertThat(harness.sent(harness.submitCall("/read/2"))).isPresent();
  }

  // Guards against the statement of the server that has taken over an address being applied.
  @Test
  void theLimitOfAnotherServerAtTheSameAddressIsIgnored() {
    ForwardHarness harness = ForwardHarness.ready(0, 2);
    long first = harness.submitCall("/read/1");
    String expected = harness.serverOf(first);
    harness.respond(
        first,
        new ResponseHead(
            421,
            true,
            Optional.of("service-9"),
            Optional.empty(),
            false,
            Optional.empty(),
            LimitStatement.of(0)));

    assertThat(harness.commands.stream().anyMatch(ForwardCommand.AnnounceLimit.class::isInstance))
        .isFalse();
    assertThat(harness.serverOf(first)).isNotEqualTo(expected);
  }
}
