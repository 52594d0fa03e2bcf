package org.shallothook.coordination.sidecar;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.ConfigurationRecord;
import org.shallothook.state.configuration.ConfigurationRecordText;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.log.LogRecord;
import org.shallothook.state.membership.InstanceRole;

/** Tests claims of calls and orders to the engine, both coordinated through the log. */
final class LogCoordinationTest {
  private static final long SECOND_MICROS = 1_000_000;

  private final Map<String, List<LogRecord>> streams = new HashMap<>();

  /** Advances the time, executes every log command, and returns all other commands. */
  private List<SidecarCommand> run(SidecarHarness harness, long micros) {
    List<SidecarCommand> otherCommands = new ArrayList<>();
    long end = harness.nowMicros + micros;
    while (harness.nowMicros < end) {
      harness.pass(SidecarCore.TICK_INTERVAL_MICROS);
      while (!harness.commands.isEmpty()) {
        SidecarCommand command = harness.commands.remove(0);
        if (command instanceof SidecarCommand.ReadLog read) {
          harness.handle(new SidecarEvent.LogRead(page(read)));
        } else if (command instanceof SidecarCommand.AppendLog append) {
          long offset = append(append.stream(), append.payload(), harness.nowMicros);
          harness.handle(new SidecarEvent.LogAppended(append.token(), offset));
        } else {
          otherCommands.add(command);
        }
      }
    }
    return otherCommands;
  }

  private LogPage page(SidecarCommand.ReadLog read) {
    List<LogRecord> records = streams.getOrDefault(read.stream(), List.of());
    int start = (int) Math.min(records.size(), read.fromOffset());
    return new LogPage(read.stream(), 0, records.size(), records.subList(start, records.size()));
  }

  private long append(String stream, String payload, long nowMicros) {
    List<LogRecord> records = streams.computeIfAbsent(stream, name -> new ArrayList<>());
    records.add(new LogRecord(records.size(), nowMicros, payload));
    return records.size() - 1L;
  }

  private static <T extends SidecarCommand> List<T> of(
      Class<T> type, List<SidecarCommand> commands) {
    return commands.stream().filter(type::isInstance).map(type::cast).toList();
  }

  private static PeerMessage.Call call(SidecarHarness harness, String request) {
    return new PeerMessage.Call(
        SidecarHarness.attempt(request),
        "guild",
        "cloths",
        "book",
        Optional.of("key"),
        "text/plain",
        "cloth 7",
        false,
        true,
        harness.nowMicros + 10 * SECOND_MICROS);
  }

  @Test
  void atMostOnceCallIsClaimedFirstAndLaterAnsweredFromTheLog() {
    SidecarHarness harness =
        SidecarHarness.ready(
            4, SidecarHarness.options().role(InstanceRole.SERVICE).service("cloths"));
    harness.receive(call(harness, "r1"));
    assertThat(of(SidecarCommand.CallService.class, harness.commands)).isEmpty();
    List<SidecarCommand.CallService> calls =
        of(SidecarCommand.CallService.class, run(harness, SECOND_MICROS));
    assertThat(calls).hasSize(1);
    assertThat(calls.get(0).fencing()).hasValue(0L);
    harness.handle(
        new SidecarEvent.ServiceAnswered(calls.get(0).attempt(), 200, "text/plain", "booked"));
    harness.handle(new SidecarEvent.DrainRequested());
    assertThat(harness.core.isDrained()).isFalse();
    run(harness, 3 * SECOND_MICROS);
    assertThat(harness.core.isDrained()).isTrue();
    assertThat(harness.counters).containsEntry("appends.claims", 1);
    assertThat(harness.counters).containsEntry("appends.outcomes", 1);

    SidecarHarness other =
        SidecarHarness.ready(
            4, SidecarHarness.options().role(InstanceRole.SERVICE).service("cloths"));
    other.nowMicros = harness.nowMicros;
    other.receive(call(other, "r2"));
    List<SidecarCommand> commands = run(other, SECOND_MICROS);
    assertThat(of(SidecarCommand.CallService.class, commands)).isEmpty();
    assertThat(of(SidecarCommand.SendToPeer.class, commands).stream().map(s -> s.message()))
        .contains(
            new PeerMessage.CallAnswer(SidecarHarness.attempt("r2"), 200, "text/plain", "booked"));
  }

  @Test
  void engineIsOrderedToLoadConfiguredVersion() {
    SidecarHarness harness = SidecarHarness.ready(4);
    String source =
        "[team]\nname = a\nkey-sha256 = %s\nmodel = linen\nversion = v2".formatted("a".repeat(64));
    append(
        "configuration",
        ConfigurationRecordText.write(
            new ConfigurationRecord.Change("c1", 0, "a", Optional.of(source))),
        harness.nowMicros);
    assertThat(of(SidecarCommand.OrderModelVersion.class, run(harness, 5 * SECOND_MICROS)))
        .containsExactly(
            new SidecarCommand.OrderModelVersion(1, ModelVersion.of("linen", "v2"), true));
    assertThat(harness.core.configurationOffset()).isEqualTo(1);
    assertThat(harness.counters.get("appends.leases")).isAtLeast(1);
  }
}
