package org.shallothook.benchmarks.matrix;

import java.util.Locale;
import java.util.Optional;

/**
 * Fault that can be injected at a step.
 *
 * <p>Immutable and thread-safe.
 */
enum Fault {
  ENGINE_CRASH {
    @Override
    void inject(Scenario scenario, Occurrence at) {
      scenario.crashEngine(scenario.engineOf(at));
    }
  },
  EVENT_GAP {
    @Override
    void inject(Scenario scenario, Occurrence at) {
      scenario.fleet().engine(scenario.engineOf(at)).omitCacheChanges(LOST_CHANGES);
    }
  },
  STALE_LIST {
    @Override
    void inject(Scenario scenario, Occurrence at) {
      scenario
          .fleet()
          .platform()
          .instances()
          .disturbances()
          .setDownUntil(scenario.inMicros(LONG_MICROS));
      scenario.fleet().stop(scenario.sidecarOf(at));
    }
  },
  LOG_DOWN {
    @Override
    void inject(Scenario scenario, Occurrence at) {
      scenario.fleet().platform().log().disturbances().setDownUntil(scenario.inMicros(LONG_MICROS));
    }
  },
  LOG_SLOW {
    @Override
    void inject(Scenario scenario, Occurrence at) {
      scenario
          .fleet()
          .platform()
          .log()
          .disturbances()
          .setDelay(SLOW_ANSWER_MICROS, scenario.inMicros(LONG_MICROS));
    }
  },
  ANSWER_LOST {
    @Override
    void inject(Scenario scenario, Occurrence at) {
      scenario.fleet().platform().log().disturbances().dropResponses(LOST_ANSWERS);
    }
  },
  PAUSED_PAST_LEASE {
    @Override
    void inject(Scenario scenario, Occurrence at) {
      scenario.processOf(at).freezeUntil(scenario.inMicros(LONG_MICROS));
    }
  },
  ROUTER_RESTART {
    @Override
    void inject(Scenario scenario, Occurrence at) {
      scenario.fleet().restart(scenario.routerOf(at), SHORT_MICROS);
    }
  },
  SIDECAR_RESTART {
    @Override
    void inject(Scenario scenario, Occurrence at) {
      scenario.fleet().restart(scenario.sidecarOf(at), SHORT_MICROS);
    }
  },
  CONFLICTING_PUBLISH {
    @Override
    void inject(Scenario scenario, Occurrence at) {
      scenario.publishConflict();
    }
  },
  POISON_REQUEST {
    @Override
    void inject(Scenario scenario, Occurrence at) {
      scenario.sendPoison();
    }
  },
  LATE_ANSWER {
    @Override
    void inject(Scenario scenario, Occurrence at) {
      scenario.repeatEventsLate(REPEATED_EVENTS, SHORT_MICROS);
    }
  },
  FENCING_IGNORED {
    @Override
    void inject(Scenario scenario, Occurrence at) {
      scenario.fleet().restart(scenario.sidecarOf(at), SHORT_MICROS);
    }

    @Override
    boolean upstreamsCheckFencing() {
      return false;
    }
  },
  DOMAIN_LOST {
    @Override
    void inject(Scenario scenario, Occurrence at) {
      scenario.loseDomain();
    }
  },
  SLOW_ENGINE {
    @Override
    void inject(Scenario scenario, Occurrence at) {
      scenario.fleet().engine(scenario.engineOf(at)).setSlowFactor(SLOW_FACTOR);
    }
  },
  CALLER_GONE {
    @Override
    void inject(Scenario scenario, Occurrence at) {
      scenario.disconnectOldestCaller();
    }

    @Override
    Optional<String> notApplicable(Step step) {
      return switch (step) {
        case PUBLISH, APPLY, LOAD_ORDER -> Optional.of("no caller waits for this step");
        default -> Optional.empty();
      };
    }
  };

  private static final long SHORT_MICROS = 300_000;
  private static final long LONG_MICROS = 5_000_000;
  private static final long SLOW_ANSWER_MICROS = 700_000;
  private static final long LOST_CHANGES = 5;
  private static final long LOST_ANSWERS = 2;
  private static final int REPEATED_EVENTS = 8;
  private static final double SLOW_FACTOR = 8;

  /**
   * Injects the fault now. Faults of a single process or engine hit the one where the step occurred
   * if it is of the right kind, or else a fixed one.
   */
  abstract void inject(Scenario scenario, Occurrence at);

  /** Returns whether the scenario's services check fencing tokens. */
  boolean upstreamsCheckFencing() {
    return true;
  }

  /** Returns why the fault cannot be injected at a step; empty if it can. */
  Optional<String> notApplicable(Step step) {
    return Optional.empty();
  }

  /** Returns the fault's name in the result table. */
  String title() {
    return name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
