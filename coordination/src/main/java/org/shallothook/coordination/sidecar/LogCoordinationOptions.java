package org.shallothook.coordination.sidecar;

import java.util.Objects;
import org.shallothook.coordination.booking.ClaimOptions;

/**
 * Options of what sidecars agree on through the log.
 *
 * <p>Invariant: the number is positive. Immutable and thread-safe.
 *
 * @param bookings options of claims; equal in the whole fleet
 * @param versionsPerEngine number of model versions that an engine is to have at most
 */
public record LogCoordinationOptions(ClaimOptions bookings, int versionsPerEngine) {
  /** Options of a sidecar whose settings name none. */
  public static final LogCoordinationOptions DEFAULT =
      new LogCoordinationOptions(ClaimOptions.DEFAULT, 4);

  public LogCoordinationOptions {
    Objects.requireNonNull(bookings, "bookings");
    if (versionsPerEngine <= 0) {
      throw new IllegalArgumentException("versionsPerEngine must be positive.");
    }
  }
}
