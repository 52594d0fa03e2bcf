package org.shallothook.benchmarks.control;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.RequestId;

/** Bytes are counted for both ends, in the window only, and heartbeats while an end is silent. */
final class ControlBytesTest {
  private static final long SECOND_MICROS = 1_000_000;
  private static final PeerMessage.Submit SUBMIT =
      new PeerMessage.Submit(new AttemptId(new RequestId("r"), 1), "p".repeat(10_000), "");

  private final ControlBytes bytes = new ControlBytes(0, 100 * SECOND_MICROS);

  @Test
  void promptIsDataAndTheRestIsControl() {
    send("engine-1", SECOND_MICROS);

    assertThat(counts("engine-1").of(MessageKind.DATA)).isEqualTo(10_000);
    assertThat(counts("engine-1").of(MessageKind.SUBMIT)).isGreaterThan(0);
    assertThat(counts("engine-1").of(MessageKind.SUBMIT)).isLessThan(100);
  }

  @Test
  void bothEndsPayForAMessage() {
    send("engine-1", SECOND_MICROS);

    assertThat(counts("router-1").control()).isEqualTo(counts("engine-1").control());
  }

  @ParameterizedTest
  @CsvSource({"4, 0", "12, 2", "40, 2"})
  void bothEndsBeatWhileSilentUntilTheConnectionCloses(int secondsLater, int ofEachEnd) {
    ControlBytes window = new ControlBytes(0, secondsLater * SECOND_MICROS);
    window.sidecarCommand("engine-1", command(), 1);

    assertThat(window.byProcess().get("router-1").of(MessageKind.HEARTBEAT))
        .isEqualTo(2L * ofEachEnd * Integer.BYTES);
  }

  @Test
  void nothingOutsideTheWindowCounts() {
    send("engine-1", 200 * SECOND_MICROS);

    assertThat(counts("router-1").control()).isEqualTo(0);
  }

  private void send(String sidecar, long nowMicros) {
    bytes.sidecarCommand(sidecar, command(), nowMicros);
  }

  private static SidecarCommand command() {
    return new SidecarCommand.SendToPeer("router-1", SUBMIT, 0);
  }

  private ByteCounts counts(String process) {
    return bytes.byProcess().getOrDefault(process, new ByteCounts());
  }
}
