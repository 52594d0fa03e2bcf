package org.shallothook.benchmarks.control;

import java.util.Locale;
import java.util.concurrent.Callable;
import org.shallothook.benchmarks.workload.Deployment;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * The verb {@code control}: control bytes by kind, and how they grow with the fleet.
 *
 * <p>Not thread-safe: used on the thread of the command line.
 */
@Command(
    name = "control",
    mixinStandardHelpOptions = true,
    description = "Control bytes of routers and sidecars, in virtual time.")
public final class ControlCommand implements Callable<Integer> {
  /** Requests a second of one router, where each of 380 daemons is one. */
  public static final double ROUTER_REQUESTS = 5.5;

  /** Requests a second of one sidecar of 680. */
  public static final double SIDECAR_REQUESTS = 3.1;

  /** Routers and sidecars in the ratio of 380 to 680. */
  public static final int ROUTERS = 9;

  /** See {@link #ROUTERS}. */
  public static final int SIDECARS = 16;

  private static final int[] SIDECAR_POINTS = {16, 32, 64, 128};
  private static final int[] ROUTER_POINTS = {9, 18, 36, 72};
  private static final String ROUTER = "router-";
  private static final String SIDECAR = "engine-";

  @Spec private CommandSpec specification;

  @Option(names = "--seed", defaultValue = "1", description = "Seed. Default: ${DEFAULT-VALUE}.")
  private long seed;

  @Override
  public Integer call() {
    for (Deployment deployment : Deployment.values()) {
      printKinds(deployment, ROUTERS * ROUTER_REQUESTS);
      printKinds(deployment, 0);
    }
    for (int sidecars : SIDECAR_POINTS) {
      printPoint(ROUTERS, sidecars, ROUTERS * ROUTER_REQUESTS);
    }
    for (int routers : ROUTER_POINTS) {
      printPoint(routers, SIDECARS, SIDECARS * SIDECAR_REQUESTS);
    }
    return 0;
  }

  private void printKinds(Deployment deployment, double requestsPerSecond) {
    ControlRun run = ControlRun.of(deployment, seed, ROUTERS, SIDECARS, requestsPerSecond);
    print(
        "%s, %.1f requests/s, control: router %.0f B/s (greatest %.0f), sidecar %.0f (%.0f)",
        deployment,
        requestsPerSecond,
        run.mean(ROUTER),
        run.greatest(ROUTER),
        run.mean(SIDECAR),
        run.greatest(SIDECAR));
    for (MessageKind kind : MessageKind.values()) {
      print(
          "  %s: router %.1f (busiest %.1f), sidecar %.1f (%.1f)",
          kind,
          run.mean(ROUTER, kind),
          run.ofBusiest(ROUTER, kind),
          run.mean(SIDECAR, kind),
          run.ofBusiest(SIDECAR, kind));
    }
  }

  private void printPoint(int routers, int sidecars, double requestsPerSecond) {
    ControlRun run =
        ControlRun.of(Deployment.SPARDELNING, seed, routers, sidecars, requestsPerSecond);
    print(
        "%d routers, %d sidecars, %.1f requests/s: router %.0f B/s, sidecar %.0f B/s,"
            + " of which heartbeats %.1f and %.1f, Hello and status %.1f and %.1f",
        routers,
        sidecars,
        requestsPerSecond,
        run.mean(ROUTER),
        run.mean(SIDECAR),
        run.mean(ROUTER, MessageKind.HEARTBEAT),
        run.mean(SIDECAR, MessageKind.HEARTBEAT),
        run.mean(ROUTER, MessageKind.HELLO) + run.mean(ROUTER, MessageKind.STATUS),
        run.mean(SIDECAR, MessageKind.HELLO) + run.mean(SIDECAR, MessageKind.STATUS));
  }

  private void print(String format, Object... values) {
    specification.commandLine().getOut().printf(Locale.ROOT, format + "%n", values);
    specification.commandLine().getOut().flush();
  }
}
