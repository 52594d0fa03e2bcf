package org.shallothook.coordination.sidecar;

import java.util.Objects;
import org.shallothook.coordination.booking.ClaimOptions;

/**
 * Options of the coordination between sidecars through the log.
 *
 * <p>Invariant: {@code versionsPerEngine} is positive. Immutable and thread-safe.
 *
 * @param claims options of claims; must be the same in the whole fleet
 * @param versionsPerEngine maximum number of model versions assigned to an engine
 */
public record LogCoordinationOptions(ClaimOptions claims, int versionsPerEngine) {
  /** Options of a sidecar whose settings do not set any. */
  public static final LogCoordinationOptions DEFAULT =
      new LogCoordinationOptions(ClaimOptions.DEFAULT, 4);

  public LogCoordinationOptions {
    Objects.requireNonNull(claims, "bookings");
    if (versionsPerEngine <= 0) {
      throw new IllegalArgumentException("versionsPerEngine must be positive.");
    }
  }
}
