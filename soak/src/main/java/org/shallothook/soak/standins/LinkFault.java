package org.shallothook.soak.standins;

/**
 * Ways in which a link disturbs the connections over it.
 *
 * <p>Immutable and thread-safe.
 */
public enum LinkFault {
  /** Passes all bytes on. */
  NONE(true, true, 0),
  /** Passes all bytes on later. */
  DELAYED(true, true, 150),
  /** Passes nothing on in either direction. */
  SILENT(false, false, 0),
  /** Passes on what goes to the server, and nothing that comes back. */
  ONE_WAY(true, false, 0);

  private final boolean passesRequests;
  private final boolean passesAnswers;
  private final long delayMillis;

  LinkFault(boolean passesRequests, boolean passesAnswers, long delayMillis) {
    this.passesRequests = passesRequests;
    this.passesAnswers = passesAnswers;
    this.delayMillis = delayMillis;
  }

  boolean passesRequests() {
    return passesRequests;
  }

  boolean passesAnswers() {
    return passesAnswers;
  }

  long delayMillis() {
    return delayMillis;
  }
}
