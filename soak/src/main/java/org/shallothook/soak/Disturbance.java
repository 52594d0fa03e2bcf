package org.shallothook.soak;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.shallothook.soak.standins.AnswerFault;
import org.shallothook.soak.standins.LinkFault;
import org.shallothook.soak.standins.ServerStandin;
import org.shallothook.soak.standins.StoreFault;

/**
 * What a run does to the deployment. Each begins something and returns what ends it.
 *
 * <p>Immutable and thread-safe.
 */
enum Disturbance {
  PAUSE_ROUTER {
    @Override
    Runnable begin(Deployment deployment, SplittableRandom random) {
      return pause(Draws.oneOf(deployment.routers(), random));
    }
  },
  KILL_ROUTER {
    @Override
    Runnable begin(Deployment deployment, SplittableRandom random) {
      return kill(Draws.oneOf(deployment.routers(), random));
    }
  },
  STOP_ROUTER {
    @Override
    Runnable begin(Deployment deployment, SplittableRandom random) {
      ManagedProcess router = Draws.oneOf(deployment.routers(), random);
      Process life = router.stop();
      return () -> restartOnceEnded(deployment, router, life);
    }
  },
  HANG_UP_ROUTER {
    @Override
    Runnable begin(Deployment deployment, SplittableRandom random) {
      ManagedProcess router = Draws.oneOf(deployment.routers(), random);
      if (router.hasStarted()) {
        router.signal("HUP");
      }
      return () -> {};
    }
  },
  PAUSE_SIDECAR {
    @Override
    Runnable begin(Deployment deployment, SplittableRandom random) {
      return pause(Draws.oneOf(deployment.sidecars(), random));
    }
  },
  KILL_SIDECAR {
    @Override
    Runnable begin(Deployment deployment, SplittableRandom random) {
      return kill(Draws.oneOf(deployment.sidecars(), random));
    }
  },
  FAIL_STORE {
    @Override
    Runnable begin(Deployment deployment, SplittableRandom random) {
      deployment.store().fail(Draws.oneOf(STORE_FAULTS, random));
      return () -> deployment.store().fail(StoreFault.NONE);
    }
  },
  DISTURB_STORE_LINK {
    @Override
    Runnable begin(Deployment deployment, SplittableRandom random) {
      var link = Draws.oneOf(deployment.storeLinks(), random);
      link.disturb(Draws.oneOf(LINK_FAULTS, random));
      return () -> link.disturb(LinkFault.NONE);
    }
  },
  DISTURB_SERVER_LINK {
    @Override
    Runnable begin(Deployment deployment, SplittableRandom random) {
      ServerStandin server = drawnServer(deployment, random);
      server.link().disturb(Draws.oneOf(LINK_FAULTS, random));
      return () -> server.link().disturb(LinkFault.NONE);
    }
  },
  RESET_SERVER_LINK {
    @Override
    Runnable begin(Deployment deployment, SplittableRandom random) {
      drawnServer(deployment, random).link().resetAll();
      return () -> {};
    }
  },
  CRASH_SERVER {
    @Override
    Runnable begin(Deployment deployment, SplittableRandom random) {
      drawnServer(deployment, random).crash();
      return () -> {};
    }
  },
  SERVER_LEAVES {
    @Override
    Runnable begin(Deployment deployment, SplittableRandom random) {
      drawnServer(deployment, random).leave(LEAVING_MILLIS);
      return () -> {};
    }
  },
  SPOIL_ANSWERS {
    @Override
    Runnable begin(Deployment deployment, SplittableRandom random) {
      ServerStandin server = drawnServer(deployment, random);
      server.spoil(Optional.of(Draws.oneOf(ANSWER_FAULTS, random)), SPOILED_SHARE);
      return () -> server.spoil(Optional.empty(), 0);
    }
  },
  NEW_CONFIGURATION {
    @Override
    Runnable begin(Deployment deployment, SplittableRandom random) {
      deployment.publish();
      return () -> {};
    }
  },
  NEW_WEIGHTS {
    @Override
    Runnable begin(Deployment deployment, SplittableRandom random) {
      deployment.nameNextWeights();
      return () -> {};
    }
  };

  private static final List<StoreFault> STORE_FAULTS =
      List.of(StoreFault.BUSY, StoreFault.SILENT, StoreFault.LOSES_ANSWERS);
  private static final List<LinkFault> LINK_FAULTS =
      List.of(LinkFault.DELAYED, LinkFault.SILENT, LinkFault.ONE_WAY);
  private static final List<AnswerFault> ANSWER_FAULTS = List.of(AnswerFault.values());

  /** Time after a pause or kill in which callers may still fare badly, in milliseconds. */
  private static final long AFTERMATH_MILLIS = 3_000;

  /** Longest time that a planned stop may take, with room for a busy machine. */
  private static final long STOP_MILLIS = 11_000;

  private static final long LEAVING_MILLIS = 10_000;
  private static final double SPOILED_SHARE = 0.3;

  /** Begins the disturbance and returns what ends it. */
  abstract Runnable begin(Deployment deployment, SplittableRandom random);

  private static ServerStandin drawnServer(Deployment deployment, SplittableRandom random) {
    return Draws.oneOf(random.nextBoolean() ? deployment.models() : deployment.bookings(), random);
  }

  private static Runnable pause(ManagedProcess process) {
    process.disturbed(Injector.LONGEST_MILLIS + AFTERMATH_MILLIS);
    process.signal("STOP");
    return () -> process.signal("CONT");
  }

  private static Runnable kill(ManagedProcess process) {
    process.disturbed(Injector.LONGEST_MILLIS + AFTERMATH_MILLIS);
    process.kill();
    return process::start;
  }

  private static void restartOnceEnded(
      Deployment deployment, ManagedProcess process, Process life) {
    long beganNanos = System.nanoTime();
    if (!process.awaitEnd(life, STOP_MILLIS)) {
      if (!process.wasDisturbedSince(beganNanos)) {
        deployment.ledger().violated("a planned stop ends in time", process.name());
      }
      process.kill();
    }
    process.start();
  }
}
