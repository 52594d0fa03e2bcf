package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Covers when the removal of a server's registry entry takes effect around an outage. */
final class ServerRemovalTest {
  private static final long STEP_MICROS = 100 * ForwardHarness.MILLI;
  private static final long GRACE_MICROS = 2 * ForwardHarness.SECOND;

  private final ForwardHarness harness = ForwardHarness.ready(0, 1);

  private void remove() {
    harness.handle(new ForwardEvent.ServerRemoved("service-1"));
  }

  private void setReachable(boolean isReachable) {
    harness.handle(new ForwardEvent.RegistryReachable(isReachable));
  }

  private boolean isUsed() {
    long request = harness.submitCall("/book/1");
    if (harness.sent(request).isEmpty()) {
      return false;
    }
    harness.respond(request, 200);
    harness.complete(request);
    return true;
  }

  private void assertUsedUntil(long endMicros) {
    while (harness.now() < endMicros + ForwardHarness.SECOND) {
      assertWithMessage("used %s microseconds after the end", harness.now() - endMicros)
          .that(isUsed())
          .isEqualTo(harness.now() < endMicros);
      harness.advance(STEP_MICROS);
    }
  }

  // Guards against use of a server for 2 s after its removal was read instead of after the outage.
  @ParameterizedTest
  @ValueSource(longs = {500, 1_900, 2_900})
  void aRemovalReadAfterAnOutageHoldsFromTwoSecondsAfterItsEnd(long readMillis) {
    setReachable(false);
    harness.advance(ForwardHarness.SECOND);
    setReachable(true);
    long endMicros = harness.now();
    harness.advance(readMillis * ForwardHarness.MILLI);

    remove();

    assertUsedUntil(endMicros + GRACE_MICROS);
  }

  // Guards against a healthy server given up during an outage, before its entry can be back.
  @ParameterizedTest
  @ValueSource(longs = {500, 5_000})
  void aRemovalReadDuringAnOutageHoldsFromTwoSecondsAfterItsEnd(long millisToEnd) {
    setReachable(false);
    remove();
    assertWithMessage("used when removed").that(isUsed()).isTrue();
    harness.advance(millisToEnd * ForwardHarness.MILLI);

    setReachable(true);

    assertUsedUntil(harness.now() + GRACE_MICROS);
  }

  // Guards against a healthy server given up because the store went away again before its return.
  @ParameterizedTest
  @ValueSource(longs = {0, 500, 1_900})
  void aRemovalThatIsPendingWaitsForTheEndOfTheNextOutage(long millisToNextOutage) {
    setReachable(false);
    remove();
    setReachable(true);
    harness.advance(millisToNextOutage * ForwardHarness.MILLI);
    setReachable(false);
    harness.advance(5 * ForwardHarness.SECOND);

    setReachable(true);

    assertUsedUntil(harness.now() + GRACE_MICROS);
  }

  // Guards against a removed server used again because the store goes away after its removal.
  @Test
  void aRemovalThatHasTakenEffectHoldsDuringTheNextOutage() {
    long request = harness.submitCall("/book/1");
    remove();

    setReachable(false);

    assertThat(isUsed()).isFalse();
    harness.respond(request, 200);
    harness.complete(request);
    assertThat(isUsed()).isFalse();
  }

  // Guards against a server given up although its entry has returned in time.
  @Test
  void aServerWhoseEntryReturnsAfterAnOutageStaysInUse() {
    setReachable(false);
    remove();
    setReachable(true);
    harness.advance(1_900 * ForwardHarness.MILLI);

    harness.handle(
        new ForwardEvent.ServersRead(List.of(ForwardHarness.service("service-1", 1)), false));

    for (int round = 0; round < 30; round++) {
      assertThat(isUsed()).isTrue();
      harness.advance(STEP_MICROS);
    }
  }

  // Guards against a server missing in a restored copy given up before it is written again.
  @Test
  void aRemovalReadAfterARestoreHoldsFromTwoSecondsAfterIt() {
    harness.handle(new ForwardEvent.RegistryRestored());
    long restoredMicros = harness.now();
    harness.advance(500 * ForwardHarness.MILLI);

    remove();

    assertUsedUntil(restoredMicros + GRACE_MICROS);
  }

  // Guards against requests kept at a server that is gone while the outage does not end.
  @ParameterizedTest
  @CsvSource({"200, service-1, true", "421, service-2, false"})
  void aServerRemovedInAnOutageWithoutEndIsGivenUpByWhatItsAddressAnswers(
      int status, String instance, boolean isLeaving) {
    setReachable(false);
    remove();
    harness.advance(600 * ForwardHarness.SECOND);
    long request = harness.submitCall("/book/1");

    harness.respond(
        request,
        new ResponseHead(
            status,
            !isLeaving,
            Optional.of(instance),
            Optional.empty(),
            isLeaving,
            Optional.empty()));

    assertThat(isUsed()).isFalse();
    harness.advance(10 * ForwardHarness.SECOND);
    assertThat(isUsed()).isFalse();
  }
}
