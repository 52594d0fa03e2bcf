package org.shallothook.benchmarks.matrix;

import java.util.Locale;
import java.util.Optional;

/**
 * Fault that may strike at a step.
 *
 * <p>Immutable and thread-safe.
 */
enum Fault {
  ENGINE_CRASH {
    @Override
    void inject(Scene scene, Occurrence at) {
      scene.crashEngine(scene.engineOf(at));
    }
  },
  EVENT_GAP {
    @Override
    void inject(Scene scene, Occurrence at) {
      scene.fleet().engine(scene.engineOf(at)).loseCacheChanges(LOST_CHANGES);
    }
  },
  STALE_LIST {
    @Override
    void inject(Scene scene, Occurrence at) {
      scene.fleet().platform().instances().disturbances().setDownUntil(scene.inMicros(LONG_MICROS));
      scene.fleet().stop(scene.sidecarOf(at));
    }
  },
  LOG_DOWN {
    @Override
    void inject(Scene scene, Occurrence at) {
      scene.fleet().platform().log().disturbances().setDownUntil(scene.inMicros(LONG_MICROS));
    }
  },
  LOG_SLOW {
    @Override
    void inject(Scene scene, Occurrence at) {
      scene
          .fleet()
          .platform()
          .log()
          .disturbances()
          .setDelay(SLOW_ANSWER_MICROS, scene.inMicros(LONG_MICROS));
    }
  },
  ANSWER_LOST {
    @Override
    void inject(Scene scene, Occurrence at) {
      scene.fleet().platform().log().disturbances().loseAnswers(LOST_ANSWERS);
    }
  },
  PAUSED_PAST_LEASE {
    @Override
    void inject(Scene scene, Occurrence at) {
      scene.processOf(at).freezeUntil(scene.inMicros(LONG_MICROS));
    }
  },
  ROUTER_RESTART {
    @Override
    void inject(Scene scene, Occurrence at) {
      scene.fleet().restart(scene.routerOf(at), SHORT_MICROS);
    }
  },
  SIDECAR_RESTART {
    @Override
    void inject(Scene scene, Occurrence at) {
      scene.fleet().restart(scene.sidecarOf(at), SHORT_MICROS);
    }
  },
  CONFLICTING_PUBLISH {
    @Override
    void inject(Scene scene, Occurrence at) {
      scene.publishConflict();
    }
  },
  POISON_REQUEST {
    @Override
    void inject(Scene scene, Occurrence at) {
      scene.sendPoison();
    }
  },
  LATE_ANSWER {
    @Override
    void inject(Scene scene, Occurrence at) {
      scene.repeatEventsLate(REPEATED_EVENTS, SHORT_MICROS);
    }
  },
  FENCING_IGNORED {
    @Override
    void inject(Scene scene, Occurrence at) {
      scene.fleet().restart(scene.sidecarOf(at), SHORT_MICROS);
    }

    @Override
    boolean upstreamsCheckFencing() {
      return false;
    }
  },
  DOMAIN_LOST {
    @Override
    void inject(Scene scene, Occurrence at) {
      scene.loseDomain();
    }
  },
  SLOW_ENGINE {
    @Override
    void inject(Scene scene, Occurrence at) {
      scene.fleet().engine(scene.engineOf(at)).setSlowFactor(SLOW_FACTOR);
    }
  },
  CALLER_GONE {
    @Override
    void inject(Scene scene, Occurrence at) {
      scene.leaveOldestCaller();
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

  /** Makes the fault happen now, near the process of an occurrence. */
  abstract void inject(Scene scene, Occurrence at);

  /** Returns whether the scene's engines and services check fencing numbers. */
  boolean upstreamsCheckFencing() {
    return true;
  }

  /** Returns why the fault cannot strike at a step, if so. */
  Optional<String> notApplicable(Step step) {
    return Optional.empty();
  }

  /** Returns the fault's name in tables. */
  String title() {
    return name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
