package org.shallothook.coordination.weights;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.WeightVersion;

/**
 * A rollout of new weights to the servers of a service, whose sidecars all decide at the same time,
 * before any receives a status of the others.
 *
 * <p>Immutable and thread-safe.
 *
 * @param updated number of servers that have the new weights in the end
 * @param mostUnavailable greatest number of servers that load at once
 */
record RolloutSimulation(int updated, int mostUnavailable) {
  static final String MODEL = "linen";
  static final long BOUND_MICROS = 8_000_000;
  static final WeightVersion DESIRED = new WeightVersion(MODEL, 2);
  private static final long TICK_MICROS = 50_000;

  /** Runs a rollout for at most the bound, from the time at which the first server may start. */
  static RolloutSimulation run(int count, long loadMicros, RolloutSchedule.RolloutTime time) {
    List<ServerEntry> servers = servers(count);
    Map<String, RolloutSchedule> schedules = new HashMap<>();
    servers.forEach(server -> schedules.put(server.id(), new RolloutSchedule(BOUND_MICROS)));
    Map<String, Long> loadEndMicros = new HashMap<>();
    Set<String> done = new HashSet<>();
    int mostUnavailable = 0;
    long end = time.firstStartMicros() + BOUND_MICROS;
    for (long now = time.firstStartMicros(); now < end && done.size() < count; now += TICK_MICROS) {
      List<SidecarStatus> announced = new ArrayList<>();
      for (ServerEntry server : servers) {
        RolloutSchedule.Rollout rollout =
            new RolloutSchedule.Rollout(server.id(), servers, DESIRED, time);
        Long loadEnd = loadEndMicros.get(server.id());
        if (loadEnd == null && schedules.get(server.id()).mayStart(rollout, now)) {
          loadEndMicros.put(server.id(), now + loadMicros);
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
    return new RolloutSimulation(done.size(), mostUnavailable);
  }

  /** Returns entries of servers with the first version of the weights. */
  static List<ServerEntry> servers(int count) {
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

  static SidecarStatus unavailable(ServerEntry server) {
    return new SidecarStatus(server.id(), "1", List.of(), false, 0);
  }

  private static SidecarStatus ready(ServerEntry server) {
    return new SidecarStatus(server.id(), "1", List.of(ModelVersion.of(MODEL, "2")), false, 0);
  }
}
