package org.shallothook.coordination.weights;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.WeightVersion;

/** Sidecars that learn late of a version of weights: after a start or a pause. */
final class OverdueRolloutTest {
  private static final String MODEL = "linen";
  private static final long BOUND = 8_000_000;
  private static final long MILLI = 1_000;
  private static final int SERVERS = 9;
  private static final long START = 100_000_000;

  private static ServerEntry entry(int index) {
    return new ServerEntry(
        "engine-" + index,
        "engines",
        "10.0.0." + index + ":80",
        "domain",
        8,
        false,
        Map.of(MODEL, 1L),
        5,
        Optional.empty());
  }

  /** Returns when the sidecar of a server orders the version, without word of the other servers. */
  private static long orderedAfterMillis(int server, Optional<Long> writtenAfterMicros) {
    List<WeightCommand> commands = new ArrayList<>();
    WeightUpdater updater =
        new WeightUpdater(
            "sidecar", entry(server).address(), BOUND, commands::add, DecisionJournal.NONE);
    EngineReport report = new EngineReport(Map.of(MODEL, 1L), false, 0, 0, 0, 0, 5);
    for (int index = 0; index < SERVERS; index++) {
      updater.handle(new WeightEvent.ServerListed(entry(index)), START);
    }
    updater.handle(new WeightEvent.FencingTokenAcquired(Optional.of(1L)), START);
    updater.handle(
        new WeightEvent.DesiredVersionChanged(new WeightVersion(MODEL, 2), writtenAfterMicros),
        START);
    long now = START;
    while (commands.stream().noneMatch(WeightCommand.Order.class::isInstance)) {
      now += WeightUpdater.TICK_INTERVAL_MICROS;
      updater.handle(new WeightEvent.Reported(Either.right(report)), now);
    }
    return (now - START) / MILLI;
  }

  // Guards against a server that keeps older weights for a whole rollout after its sidecar started.
  @ParameterizedTest(name = "written {0} ms before (-1: unknown): the last is ordered in {1} ms")
  @CsvSource({"-1, 2000", "8000, 2000", "4500, 2000", "3000, 3500", "0, 6500"})
  void theLastServerIsUpdatedInTime(long writtenBeforeMillis, long latestMillis) {
    Optional<Long> writtenAfterMicros =
        Optional.of(writtenBeforeMillis)
            .filter(millis -> millis >= 0)
            .map(millis -> START - millis * MILLI);
    for (int server = 0; server < SERVERS; server++) {
      assertThat(orderedAfterMillis(server, writtenAfterMicros)).isAtMost(latestMillis);
    }
  }
}
