package org.shallothook.soak;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.shallothook.soak.standins.LinkFault;
import org.shallothook.soak.standins.ResponseFault;
import org.shallothook.soak.standins.ServerStandin;
import org.shallothook.soak.standins.StoreFault;

/**
 * Faults and planned changes that a run applies to the deployment.
 *
 * <p>Immutable and thread-safe.
 */
enum Disturbance {
  PAUSE_ROUTER {
    @Override
    Runnable begin(SoakDeployment deployment, SplittableRandom random) {
      return pause(RandomChoice.oneOf(deployment.routers(), random));
    }
  },
  KILL_ROUTER {
    @Override
    Runnable begin(SoakDeployment deployment, SplittableRandom random) {
      return kill(RandomChoice.oneOf(deployment.routers(), random));
    }
  },
  STOP_ROUTER {
    @Override
    Runnable begin(SoakDeployment deployment, SplittableRandom random) {
      ManagedProcess router = RandomChoice.oneOf(deployment.routers(), random);
      Process incarnation = router.requestStop();
      return () -> restartAfterExit(deployment, router, incarnation);
    }
  },
  HANG_UP_ROUTER {
    @Override
    Runnable begin(SoakDeployment deployment, SplittableRandom random) {
      ManagedProcess router = RandomChoice.oneOf(deployment.routers(), random);
      if (router.hasStarted()) {
        router.signal("HUP");
      }
      return () -> {};
    }
  },
  PAUSE_SIDECAR {
    @Override
    Runnable begin(SoakDeployment deployment, SplittableRandom random) {
      return pause(RandomChoice.oneOf(deployment.sidecars(), random));
    }
  },
  KILL_SIDECAR {
    @Override
    Runnable begin(SoakDeployment deployment, SplittableRandom random) {
      return kill(RandomChoice.oneOf(deployment.sidecars(), random));
    }
  },
  FAIL_STORE {
    @Override
    Runnable begin(SoakDeployment deployment, SplittableRandom random) {
      deployment.store().setFault(RandomChoice.oneOf(STORE_FAULTS, random));
      return () -> deployment.store().setFault(StoreFault.NONE);
    }
  },
  DISTURB_STORE_LINK {
    @Override
    Runnable begin(SoakDeployment deployment, SplittableRandom random) {
      var link = RandomChoice.oneOf(deployment.storeLinks(), random);
      link.setFault(RandomChoice.oneOf(LINK_FAULTS, random));
      return () -> link.setFault(LinkFault.NONE);
    }
  },
  DISTURB_SERVER_LINK {
    @Override
    Runnable begin(SoakDeployment deployment, SplittableRandom random) {
      ServerStandin server = randomServer(deployment, random);
      server.link().setFault(RandomChoice.oneOf(LINK_FAULTS, random));
      return () -> server.link().setFault(LinkFault.NONE);
    }
  },
  RESET_SERVER_LINK {
    @Override
    Runnable begin(SoakDeployment deployment, SplittableRandom random) {
      randomServer(deployment, random).link().resetAll();
      return () -> {};
    }
  },
  CRASH_SERVER {
    @Override
    Runnable begin(SoakDeployment deployment, SplittableRandom random) {
      randomServer(deployment, random).crash();
      return () -> {};
    }
  },
  SERVER_LEAVES {
    @Override
    Runnable begin(SoakDeployment deployment, SplittableRandom random) {
      randomServer(deployment, random).leave(REJOIN_DELAY_MILLIS);
      return () -> {};
    }
  },
  CORRUPT_RESPONSES {
    @Override
    Runnable begin(SoakDeployment deployment, SplittableRandom random) {
      ServerStandin server = randomServer(deployment, random);
      server.setResponseFault(
          Optional.of(RandomChoice.oneOf(RESPONSE_FAULTS, random)), FAULTY_RESPONSE_SHARE);
      return () -> server.setResponseFault(Optional.empty(), 0);
    }
  },
  NEW_CONFIGURATION {
    @Override
    Runnable begin(SoakDeployment deployment, SplittableRandom random) {
      deployment.publishConfiguration();
      return () -> {};
    }
  },
  NEW_WEIGHTS {
    @Override
    Runnable begin(SoakDeployment deployment, SplittableRandom random) {
      deployment.publishNextVersion();
      return () -> {};
    }
  };

  private static final List<StoreFault> STORE_FAULTS =
      List.of(StoreFault.BUSY, StoreFault.SILENT, StoreFault.DROPS_APPEND_RESPONSES);
  private static final List<LinkFault> LINK_FAULTS =
      List.of(LinkFault.DELAYED, LinkFault.SILENT, LinkFault.ONE_WAY);
  private static final List<ResponseFault> RESPONSE_FAULTS = List.of(ResponseFault.values());

  /** Time after a pause or kill in which requests may still fail, in milliseconds. */
  private static final long RECOVERY_MILLIS = 3_000;

  /**
   * Time in which a graceful stop must finish, in milliseconds, with a margin for a busy machine.
   */
  private static final long STOP_TIMEOUT_MILLIS = 11_000;

  private static final long REJOIN_DELAY_MILLIS = 10_000;
  private static final double FAULTY_RESPONSE_SHARE = 0.3;

  /** Begins the disturbance and returns the task that ends it. */
  abstract Runnable begin(SoakDeployment deployment, SplittableRandom random);

  private static ServerStandin randomServer(SoakDeployment deployment, SplittableRandom random) {
    return RandomChoice.oneOf(
        random.nextBoolean() ? deployment.modelServers() : deployment.plainServers(), random);
  }

  private static Runnable pause(ManagedProcess process) {
    process.markDisturbed(DisturbanceInjector.MAX_DURATION_MILLIS + RECOVERY_MILLIS);
    process.signal("STOP");
    return () -> process.signal("CONT");
  }

  private static Runnable kill(ManagedProcess process) {
    process.markDisturbed(DisturbanceInjector.MAX_DURATION_MILLIS + RECOVERY_MILLIS);
    process.kill();
    return process::start;
  }

  private static void restartAfterExit(
      SoakDeployment deployment, ManagedProcess process, Process incarnation) {
    long startedNanos = System.nanoTime();
    if (!process.awaitExit(incarnation, STOP_TIMEOUT_MILLIS)) {
      if (!process.wasDisturbedSince(startedNanos)) {
        deployment
            .executionLog()
            .recordViolation("a graceful stop finishes in time", process.name());
      }
      process.kill();
    }
    process.start();
  }
}
