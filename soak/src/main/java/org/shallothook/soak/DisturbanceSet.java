package org.shallothook.soak;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Set of disturbances that a run draws from.
 *
 * <p>Immutable and thread-safe.
 */
enum DisturbanceSet {
  /** Faults and planned work. */
  ALL {
    @Override
    List<Disturbance> disturbances() {
      return List.of(Disturbance.values());
    }
  },
  /** Stops, signals and configurations only, so that no request may end without a response. */
  PLANNED {
    @Override
    List<Disturbance> disturbances() {
      return List.of(
          Disturbance.STOP_ROUTER,
          Disturbance.STOP_ROUTER,
          Disturbance.HANG_UP_ROUTER,
          Disturbance.NEW_CONFIGURATION);
    }
  },
  /** Nothing, for measurements. */
  NONE {
    @Override
    List<Disturbance> disturbances() {
      return List.of();
    }
  };

  /** Returns the disturbances, some of them several times, as they are drawn with equal chances. */
  abstract List<Disturbance> disturbances();

  boolean isEmpty() {
    return disturbances().isEmpty();
  }

  /** Draws a disturbance. The set must not be empty. */
  Disturbance draw(SplittableRandom random) {
    return RandomChoice.oneOf(disturbances(), random);
  }
}
