package org.shallothook.coordination.weights;

import static com.google.common.truth.Truth.assertThat;
import static org.shallothook.coordination.weights.RolloutSimulation.BOUND_MICROS;
import static org.shallothook.coordination.weights.RolloutSimulation.DESIRED;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.state.log.WrittenTime;
import org.shallothook.state.route.ServerEntry;

/** Sidecars that learn late of a version of weights: after a start or a pause. */
final class OverdueRolloutTest {
  private static final long MILLI = 1_000;
  private static final List<ServerEntry> SERVERS = RolloutSimulation.servers(9);
  private static final long START = 100_000_000;

  /** Returns when the sidecar of a server orders the version, without word of the other servers. */
  private static long orderedAfterMillis(ServerEntry server, WrittenTime written) {
    List<WeightCommand> commands = new ArrayList<>();
    WeightUpdater updater =
        new WeightUpdater(
            "sidecar", server.address(), BOUND_MICROS, commands::add, DecisionJournal.NONE);
    EngineReport report = new EngineReport(server.versions(), false, 0, 0, 0, 0, 5);
    SERVERS.forEach(entry -> updater.handle(new WeightEvent.ServerListed(entry), START));
    updater.handle(new WeightEvent.ServersComplete(), START);
    updater.handle(new WeightEvent.FencingTokenAcquired(Optional.of(1L)), START);
    updater.handle(new WeightEvent.DesiredVersionChanged(DESIRED, written), START);
    long now = START;
    while (now < START + BOUND_MICROS
        && commands.stream().noneMatch(WeightCommand.Order.class::isInstance)) {
      now += WeightUpdater.TICK_INTERVAL_MICROS;
      updater.handle(new WeightEvent.Reported(Either.right(report)), now);
    }
    return (now - START) / MILLI;
  }

  // Guards against a server that keeps older weights for a whole rollout after its sidecar started.
  @ParameterizedTest(name = "written {0} ms before (-1: unknown): the last is ordered in {1} ms")
  @CsvSource({"-1, 3500", "8000, 3500", "4500, 3500", "2500, 4000", "0, 6500"})
  void theLastServerIsUpdatedInTime(long writtenBeforeMillis, long latestMillis) {
    for (ServerEntry server : SERVERS) {
      assertThat(orderedAfterMillis(server, writtenBefore(writtenBeforeMillis)))
          .isAtMost(latestMillis);
    }
  }

  private static WrittenTime writtenBefore(long millis) {
    return new WrittenTime(
        millis < 0 ? Optional.empty() : Optional.of(START - millis * MILLI), START);
  }

  // Guards against a service without servers while all sidecars catch up after a common start.
  @ParameterizedTest(name = "{0} servers, a load of {1} ms: at most {2} unavailable at once")
  @CsvSource({"8, 1400, 4", "9, 1150, 4", "27, 1150, 13", "35, 1400, 17"})
  void halfOfTheServersServeDuringAnOverdueRollout(int count, long loadMillis, int maximum) {
    RolloutSchedule.RolloutTime time =
        new RolloutSchedule(BOUND_MICROS).timeOf(writtenBefore(-1), START);
    RolloutSimulation rollout = RolloutSimulation.run(count, loadMillis * MILLI, time);
    assertThat(rollout.updated()).isEqualTo(count);
    assertThat(rollout.mostUnavailable()).isAtMost(maximum);
  }
}
