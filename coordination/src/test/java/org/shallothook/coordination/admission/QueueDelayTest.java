package org.shallothook.coordination.admission;

import static com.google.common.truth.Truth.assertThat;
import static org.shallothook.coordination.sidecar.SidecarHarness.attempt;
import static org.shallothook.coordination.sidecar.SidecarHarness.keys;
import static org.shallothook.coordination.sidecar.SidecarHarness.offer;

import org.junit.jupiter.api.Test;
import org.shallothook.coordination.sidecar.SidecarHarness;

/** Queue delays that sidecars report in hints. */
final class QueueDelayTest {

  @Test
  void queueDelayCountsPrefillOfEveryPromptAhead() {
    SidecarHarness sidecar = SidecarHarness.ready(16, SidecarHarness.options().maximumPrefills(1));
    sidecar.send(offer("prefilling").keys(keys("long", 10)));
    for (int request = 0; request < 40; request++) {
      sidecar.send(offer("waiting-" + request));
    }
    sidecar.receive(offer("last").build());

    assertThat(sidecar.reply(attempt("last")).hint().queueDelayMicros()).isAtLeast(510_000);
  }
}
