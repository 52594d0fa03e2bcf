package org.shallothook.coordination.weights;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.log.WrittenTime;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.WeightVersion;

/** Sidecars that learn late of a version of weights: after a start or a pause. */
final class OverdueRolloutTest {
  private static final String MODEL = "linen";
  private static final long BOUND = 8_000_000;
  private static final long MILLI = 1_000;
  private static final int SERVERS = 9;
  private static final long START = 100_000_000;
  private static final long TICK = 50_000;

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
  private static long orderedAfterMillis(int server, WrittenTime written) {
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
        new WeightEvent.DesiredVersionChanged(new WeightVersion(MODEL, 2), written), START);
    long now = START;
    while (now < START + BOUND
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
    for (int server = 0; server < SERVERS; server++) {
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
    List<ServerEntry> servers =
        IntStream.range(0, count).mapToObj(OverdueRolloutTest::entry).toList();
    Map<String, RolloutSchedule> schedules = new HashMap<>();
    servers.forEach(server -> schedules.put(server.id(), new RolloutSchedule(BOUND)));
    RolloutSchedule.RolloutTime time = new RolloutSchedule(BOUND).timeOf(writtenBefore(-1), START);
    WeightVersion desired = new WeightVersion(MODEL, 2);
    Map<String, Long> loadEndMicros = new HashMap<>();
    Set<String> done = new HashSet<>();
    int mostUnavailable = 0;
    for (long now = START; now < START + BOUND && done.size() < count; now += TICK) {
      List<SidecarStatus> announced = new ArrayList<>();
      for (ServerEntry server : servers) {
        RolloutSchedule.Rollout rollout =
            new RolloutSchedule.Rollout(server.id(), servers, desired, time);
        Long loadEnd = loadEndMicros.get(server.id());
        if (loadEnd == null && schedules.get(server.id()).mayStart(rollout, now)) {
          loadEndMicros.put(server.id(), now + loadMillis * MILLI);
        } else if (loadEnd != null && now >= loadEnd && done.add(server.id())) {
          announced.add(
              new SidecarStatus(server.id(), "1", List.of(ModelVersion.of(MODEL, "2")), false, 0));
        }
        if (loadEndMicros.containsKey(server.id()) && !done.contains(server.id())) {
          announced.add(new SidecarStatus(server.id(), "1", List.of(), false, 0));
        }
      }
      mostUnavailable = Math.max(mostUnavailable, loadEndMicros.size() - done.size());
      long at = now;
      announced.forEach(
          status -> schedules.values().forEach(schedule -> schedule.onStatus(status, at)));
    }
    assertThat(done).hasSize(count);
    assertThat(mostUnavailable).isAtMost(maximum);
  }
}
