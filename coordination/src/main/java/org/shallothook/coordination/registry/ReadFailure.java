package org.shallothook.coordination.registry;

/**
 * Why a stream could not be read.
 *
 * <p>Immutable and thread-safe.
 *
 * @param isHistoryForgotten whether the records asked for exist no more, so that the newest of each
 *     key must be read again
 * @param detail what was found
 */
public record ReadFailure(boolean isHistoryForgotten, String detail) {

  /** Returns a failure after which the same read may be tried again. */
  public static ReadFailure of(String detail) {
    return new ReadFailure(false, detail);
  }

  /** Returns the failure of a read whose records exist no more. */
  public static ReadFailure ofExpiredRecords() {
    return new ReadFailure(true, "the records asked for exist no more");
  }
}
