package org.shallothook.coordination.registry;

/**
 * Why a stream could not be read.
 *
 * <p>Immutable and thread-safe.
 *
 * @param isExpired whether the requested records have expired, so that the newest record of each
 *     key must be read again
 * @param detail description of the failure
 */
public record ReadFailure(boolean isExpired, String detail) {

  /** Returns a failure after which the same read may be retried. */
  public static ReadFailure of(String detail) {
    return new ReadFailure(false, detail);
  }

  /** Returns the failure of a read whose records have expired. */
  public static ReadFailure ofExpiredRecords() {
    return new ReadFailure(true, "the requested records have expired");
  }
}
