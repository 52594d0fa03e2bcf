package org.shallothook.benchmarks.measure;

import java.util.List;
import java.util.Map;
import org.shallothook.benchmarks.control.ControlCommand;
import org.shallothook.benchmarks.control.ControlRun;
import org.shallothook.benchmarks.workload.Deployment;

/**
 * Control bytes of routers and sidecars, in the ratio and at the load of the target: the mean of a
 * role, and the process that spends most.
 *
 * <p>Stateless and thread-safe.
 */
final class ControlScenario {
  private static final double BYTES_A_SECOND = 3_000;
  private static final String ROUTERS = "router-";
  private static final String SIDECARS = "engine-";

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
        mean("control-bytes-router", deployment, run, ROUTERS),
        mean("control-bytes-sidecar", deployment, run, SIDECARS),
        greatest("control-bytes-busiest-router", deployment, run, ROUTERS),
        greatest("control-bytes-busiest-sidecar", deployment, run, SIDECARS));
  }

  private static Measure mean(String name, Deployment deployment, ControlRun run, String role) {
    return measure(name, deployment, "B/s, mean of the role", run.mean(role));
  }

  private static Measure greatest(String name, Deployment deployment, ControlRun run, String role) {
    return measure(name, deployment, "B/s, busiest of the role", run.greatest(role));
  }

  private static Measure measure(String name, Deployment deployment, String unit, double figure) {
    return new Measure(name, deployment, unit, figure, Bound.atMost(BYTES_A_SECOND), Map.of());
  }
}
