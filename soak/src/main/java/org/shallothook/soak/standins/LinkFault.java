package org.shallothook.soak.standins;

/**
 * Faults of a network link.
 *
 * <p>Immutable and thread-safe.
 */
public enum LinkFault {
  /** Forwards all bytes immediately. */
  NONE(true, true, 0),
  /** Forwards all bytes after a delay. */
  DELAYED(true, true, 150),
  /** Drops all bytes in both directions. */
  SILENT(false, false, 0),
  /** Forwards requests and drops responses. */
  ONE_WAY(true, false, 0);

  private final boolean passesRequests;
  private final boolean passesResponses;
  private final long delayMillis;

  LinkFault(boolean passesRequests, boolean passesResponses, long delayMillis) {
    this.passesRequests = passesRequests;
    this.passesResponses = passesResponses;
    this.delayMillis = delayMillis;
  }

  boolean passesRequests() {
    return passesRequests;
  }

  boolean passesResponses() {
    return passesResponses;
  }

  long delayMillis() {
    return delayMillis;
  }
}
