package org.shallothook.coordination.weights;

import static com.google.common.truth.Truth.assertThat;
import static org.shallothook.coordination.weights.RolloutSimulation.BOUND_MICROS;
import static org.shallothook.coordination.weights.RolloutSimulation.DESIRED;
import static org.shallothook.coordination.weights.RolloutSimulation.servers;
import static org.shallothook.coordination.weights.RolloutSimulation.unavailable;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.state.log.WrittenTime;
import org.shallothook.state.route.ServerEntry;

/** Load pattern: new weights for all servers of a service, whose concurrent loads are slow. */
final class RolloutScheduleTest {
  private static final RolloutSchedule.RolloutTime TIME =
      new RolloutSchedule(BOUND_MICROS).timeOf(WrittenTime.at(0), 0);

  private static SidecarStatus down(ServerEntry server) {
    return new SidecarStatus(server.id(), "", List.of(), false, 0);
  }

  @ParameterizedTest(name = "{0} servers, a load of {1} ms: at most {2} unavailable at once")
  @CsvSource({"1, 1500, 1", "3, 1500, 1", "8, 1400, 2", "27, 1150, 6", "35, 1400, 8"})
  void fewServersAreUnavailableAtOnce(int count, long loadMillis, int maximum) {
    RolloutSimulation rollout = RolloutSimulation.run(count, loadMillis * 1_000, TIME);
    assertThat(rollout.updated()).isEqualTo(count);
    assertThat(rollout.mostUnavailable()).isAtMost(maximum);
  }

  @Test
  void everyServerMayStartAtItsLatestStartWhateverOthersReport() {
    List<ServerEntry> servers = servers(9);
    RolloutSchedule schedule = new RolloutSchedule(BOUND_MICROS);
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
    RolloutSchedule schedule = new RolloutSchedule(BOUND_MICROS);
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
