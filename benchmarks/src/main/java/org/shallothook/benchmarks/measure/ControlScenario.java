package org.shallothook.benchmarks.measure;

import java.util.List;
import java.util.Map;
import org.shallothook.benchmarks.control.ControlCommand;
import org.shallothook.benchmarks.control.ControlRun;
import org.shallothook.benchmarks.workload.Deployment;

/**
 * Control bytes of routers and sidecars, in the ratio and at the load of the target.
 *
 * <p>Stateless and thread-safe.
 */
final class ControlScenario {
  private static final double BYTES_A_SECOND = 3_000;
  private static final String UNIT = "B/s, mean of the role";

  private ControlScenario() {}

  static List<Measure> measures(Deployment deployment, long seed) {
    ControlRun run =
        ControlRun.of(
            deployment,
            seed,
            ControlCommand.ROUTERS,
            ControlCommand.SIDECARS,
            ControlCommand.ROUTERS * ControlCommand.ROUTER_REQUESTS);
    return List.of(
        measure("control-bytes-router", deployment, run, "router-"),
        measure("control-bytes-sidecar", deployment, run, "engine-"));
  }

  private static Measure measure(
      String name, Deployment deployment, ControlRun run, String processes) {
    return new Measure(
        name,
        deployment,
        UNIT,
        run.mean(processes),
        Bound.atMost(BYTES_A_SECOND),
        Map.of("greatest", run.greatest(processes)));
  }
}
