package org.shallothook.state.lease;

import java.util.Objects;

/**
 * A time-limited position in the queue for a limited number of slots.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id identifier, never reused
 * @param deadlineMicros when the lease expires unless it is renewed, in microseconds since the
 *     epoch
 */
public record Lease(String id, long deadlineMicros) {
  public Lease {
    Objects.requireNonNull(id, "id");
  }
}
