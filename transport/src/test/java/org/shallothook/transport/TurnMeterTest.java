package org.shallothook.transport;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.Decision;

/** Lines about connections that occupy an event loop. */
final class TurnMeterTest {
  private final List<List<Object>> lines = new ArrayList<>();
  private final List<String> counted = new ArrayList<>();
  private final Counters counters = counted::add;
  private final TurnMeter meter = new TurnMeter(counters, this::write);

  private void write(Decision decision, String subject, Object... fields) {
    assertThat(decision).isEqualTo(Decision.LONG_TURN);
    assertThat(subject).isEqualTo("server");
    lines.add(List.of(fields));
  }

  // Guards against a log that a connection fills which occupies the loop again and again.
  @ParameterizedTest(
      name = "{0} turns of {1} ms: {2} lines, {3} turns left out before the last one")
  @CsvSource({"100, 20, 0, 0", "1, 60, 1, 0", "100, 60, 6, 16", "10, 2000, 10, 0"})
  void oneLineIsWrittenInEachSecond(int turns, long turnMillis, int expectedLines, long leftOut) {
    EmbeddedChannel channel = new EmbeddedChannel();
    long endedNanos = Long.MAX_VALUE - TimeUnit.SECONDS.toNanos(2);
    long heldNanos = TimeUnit.MILLISECONDS.toNanos(turnMillis);
    for (int turn = 0; turn < turns; turn++) {
      endedNanos += heldNanos;
      meter.record(ConnectionKind.SERVER, channel, endedNanos, heldNanos, 7);
    }

    assertThat(lines).hasSize(expectedLines);
    assertThat(counted).hasSize(expectedLines == 0 ? 0 : turns);
    if (expectedLines > 0) {
      assertThat(lines.get(expectedLines - 1))
          .containsAtLeast("held_ms", turnMillis, "bytes", 7L, "left_out", leftOut)
          .inOrder();
    }
  }
}
