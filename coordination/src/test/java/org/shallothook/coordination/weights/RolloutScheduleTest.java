package org.shallothook.coordination.weights;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.WeightVersion;

/** Load pattern: new weights for all servers of a service, whose loads slow each other down. */
final class RolloutScheduleTest {
  private static final String MODEL = "linen";
  private static final long BOUND = 8_000_000;
  private static final long TICK = 50_000;
  private static final WeightVersion WANTED = new WeightVersion(MODEL, 2);

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
                    5))
        .toList();
  }

  private static SidecarStatus away(ServerEntry server) {
    return new SidecarStatus(server.id(), "1", List.of(), false, 0);
  }

  private static SidecarStatus down(ServerEntry server) {
    return new SidecarStatus(server.id(), "", List.of(), false, 0);
  }

  private static SidecarStatus ready(ServerEntry server) {
    return new SidecarStatus(
        server.id(), "1", List.of(ModelVersion.of(MODEL, Long.toString(2))), false, 0);
  }

  /** Every sidecar decides at the same moment, before any has heard of the others' decisions. */
  @ParameterizedTest(name = "{0} servers, a load of {1} ms: at most {2} away at once")
  @CsvSource({"1, 1500, 1", "3, 1500, 1", "8, 1400, 2", "27, 1150, 6", "35, 1400, 8"})
  void fewServersAreAwayAtOnce(int count, long loadMillis, int most) {
    List<ServerEntry> servers = servers(count);
    Map<String, RolloutSchedule> schedules = new HashMap<>();
    servers.forEach(server -> schedules.put(server.id(), new RolloutSchedule(BOUND)));
    Map<String, Long> backAt = new HashMap<>();
    Set<String> isDone = new HashSet<>();
    int mostAway = 0;
    for (long now = 0; now < BOUND && isDone.size() < count; now += TICK) {
      List<SidecarStatus> told = new ArrayList<>();
      for (ServerEntry server : servers) {
        Long back = backAt.get(server.id());
        if (back == null
            && schedules
                .get(server.id())
                .hasCome(new RolloutSchedule.Rollout(server.id(), servers, WANTED, 0), now)) {
          backAt.put(server.id(), now + loadMillis * 1_000);
        } else if (back != null && now >= back && isDone.add(server.id())) {
          told.add(ready(server));
        }
        if (backAt.containsKey(server.id()) && !isDone.contains(server.id())) {
          told.add(away(server));
        }
      }
      mostAway = Math.max(mostAway, backAt.size() - isDone.size());
      long at = now;
      told.forEach(status -> schedules.values().forEach(schedule -> schedule.onStatus(status, at)));
    }
    assertThat(isDone).hasSize(count);
    assertThat(mostAway).isAtMost(most);
  }

  @Test
  void everyTurnComesWhateverIsHeardOfOthers() {
    List<ServerEntry> servers = servers(9);
    RolloutSchedule schedule = new RolloutSchedule(BOUND);
    servers.forEach(server -> schedule.onStatus(away(server), 5_900_000));
    assertThat(
            servers.stream()
                .allMatch(
                    server ->
                        schedule.hasCome(
                            new RolloutSchedule.Rollout(server.id(), servers, WANTED, 0),
                            6_000_000)))
        .isTrue();
  }

  @Test
  void serversThatAreDownDoNotTakeTurns() {
    List<ServerEntry> servers = servers(6);
    RolloutSchedule schedule = new RolloutSchedule(BOUND);
    servers.subList(0, 2).forEach(server -> schedule.onStatus(down(server), 0));
    long come =
        servers.subList(2, 6).stream()
            .filter(
                server ->
                    schedule.hasCome(
                        new RolloutSchedule.Rollout(server.id(), servers, WANTED, 0), 0))
            .count();
    assertThat(come).isEqualTo(1);
  }
}
