package org.shallothook.coordination.weights;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.WeightVersion;

/** Load pattern: new weights for all servers of a service, whose concurrent loads are slow. */
final class RolloutScheduleTest {
  private static final String MODEL = "linen";
  private static final long BOUND = 8_000_000;
  private static final long TICK = 50_000;
  private static final WeightVersion DESIRED = new WeightVersion(MODEL, 2);
  private static final RolloutSchedule.RolloutTime TIME =
      new RolloutSchedule(BOUND).timeOf(Optional.of(0L), 0);

  private static List<ServerEntry> servers(int count) {
    return IntStream.range(0, count)
        .mapToObj(
            index ->
                new ServerEntry(
                    "engine-" + index,
                    "engines",
                    "10.0.0." + index + ":80",
                    "domain",
                    8,
                    false,
                    Map.of(MODEL, 1L),
                    5,
                    Optional.empty()))
        .toList();
  }

  private static SidecarStatus unavailable(ServerEntry server) {
    return new SidecarStatus(server.id(), "1", List.of(), false, 0);
  }

  private static SidecarStatus down(ServerEntry server) {
    return new SidecarStatus(server.id(), "", List.of(), false, 0);
  }

  private static SidecarStatus ready(ServerEntry server) {
    return new SidecarStatus(
        server.id(), "1", List.of(ModelVersion.of(MODEL, Long.toString(2))), false, 0);
  }

  /** All sidecars decide at the same time, before any receives a status of the others. */
  @ParameterizedTest(name = "{0} servers, a load of {1} ms: at most {2} unavailable at once")
  @CsvSource({"1, 1500, 1", "3, 1500, 1", "8, 1400, 2", "27, 1150, 6", "35, 1400, 8"})
  void fewServersAreUnavailableAtOnce(int count, long loadMillis, int maximum) {
    List<ServerEntry> servers = servers(count);
    Map<String, RolloutSchedule> schedules = new HashMap<>();
    servers.forEach(server -> schedules.put(server.id(), new RolloutSchedule(BOUND)));
    Map<String, Long> loadEndMicros = new HashMap<>();
    Set<String> done = new HashSet<>();
    int mostUnavailable = 0;
    for (long now = 0; now < BOUND && done.size() < count; now += TICK) {
      List<SidecarStatus> announced = new ArrayList<>();
      for (ServerEntry server : servers) {
        Long loadEnd = loadEndMicros.get(server.id());
        if (loadEnd == null
            && schedules
                .get(server.id())
                .mayStart(new RolloutSchedule.Rollout(server.id(), servers, DESIRED, TIME), now)) {
          loadEndMicros.put(server.id(), now + loadMillis * 1_000);
        } else if (loadEnd != null && now >= loadEnd && done.add(server.id())) {
          announced.add(ready(server));
        }
        if (loadEndMicros.containsKey(server.id()) && !done.contains(server.id())) {
          announced.add(unavailable(server));
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

  @Test
  void everyServerMayStartAtItsLatestStartWhateverOthersReport() {
    List<ServerEntry> servers = servers(9);
    RolloutSchedule schedule = new RolloutSchedule(BOUND);
    servers.forEach(server -> schedule.onStatus(unavailable(server), 5_900_000));
    assertThat(
            servers.stream()
                .allMatch(
                    server ->
                        schedule.mayStart(
                            new RolloutSchedule.Rollout(server.id(), servers, DESIRED, TIME),
                            6_000_000)))
        .isTrue();
  }

  @Test
  void serversThatAreDownOccupyNoSlot() {
    List<ServerEntry> servers = servers(6);
    RolloutSchedule schedule = new RolloutSchedule(BOUND);
    servers.subList(0, 2).forEach(server -> schedule.onStatus(down(server), 0));
    long starting =
        servers.subList(2, 6).stream()
            .filter(
                server ->
                    schedule.mayStart(
                        new RolloutSchedule.Rollout(server.id(), servers, DESIRED, TIME), 0))
            .count();
    assertThat(starting).isEqualTo(1);
  }
}
