package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.params.ParameterizedTest;
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
}
