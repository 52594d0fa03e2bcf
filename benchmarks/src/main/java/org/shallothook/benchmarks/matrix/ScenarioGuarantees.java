package org.shallothook.benchmarks.matrix;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.shallothook.benchmarks.virtual.VirtualFleet;
import org.shallothook.coordination.router.RouterCommand;
import org.shallothook.coordination.sidecar.SidecarCommand;

/**
 * Guarantees that are checked while a scenario runs: the configuration offset of a process never
 * decreases within an incarnation, and a leaving upstream starts no new work after {@link
 * #LEAVING_MICROS}.
 *
 * <p>Not thread-safe.
 */
final class ScenarioGuarantees {
  /** Time after which a leaving upstream must start no new work, in microseconds. */
  static final long LEAVING_MICROS = 3_000_000;

  private final VirtualFleet fleet;
  private final Map<String, Long> offsets = new HashMap<>();
  private final Map<String, Long> leavingSinceMicros = new HashMap<>();
  private final List<String> violations = new ArrayList<>();

  ScenarioGuarantees(VirtualFleet fleet) {
    this.fleet = fleet;
  }

  List<String> violations() {
    return List.copyOf(violations);
  }

  /**
   * Returns the configuration offset in the last message that an incarnation of a process sent; -1
   * if it has sent none.
   */
  long lastOffset(String process, long incarnation) {
    return offsets.getOrDefault(key(process, incarnation), -1L);
  }

  void onLeaving(String upstream, long nowMicros) {
    leavingSinceMicros.putIfAbsent(upstream, nowMicros);
  }

  void onRouterCommand(String router, RouterCommand command) {
    if (command instanceof RouterCommand.SendToPeer send) {
      checkOffset(router, fleet.router(router).incarnation(), send.configurationOffset());
    }
  }

  void onSidecarCommand(String sidecar, SidecarCommand command, long nowMicros) {
    if (command instanceof SidecarCommand.SendToPeer send) {
      checkOffset(sidecar, fleet.sidecar(sidecar).incarnation(), send.configurationOffset());
    } else if (command instanceof SidecarCommand.StartAnswer start && start.resumePosition() == 0) {
      checkNotLeaving(sidecar, start.attempt().toString(), nowMicros);
    } else if (command instanceof SidecarCommand.CallService call) {
      checkNotLeaving(sidecar, call.attempt().toString(), nowMicros);
    }
  }

  private void checkNotLeaving(String sidecar, String work, long nowMicros) {
    Long since = leavingSinceMicros.get(sidecar);
    if (since != null && nowMicros > since + LEAVING_MICROS) {
      violations.add(work + ": started at leaving upstream " + sidecar);
    }
  }

  private void checkOffset(String process, long incarnation, long offset) {
    Long earlier = offsets.put(key(process, incarnation), offset);
    if (earlier != null && earlier > offset) {
      violations.add(process + ": configuration went back from " + earlier + " to " + offset);
    }
  }

  private static String key(String process, long incarnation) {
    return process + "#" + incarnation;
  }
}
