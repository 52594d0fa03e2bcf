package org.shallothook.coordination.forward;

/**
 * What a server's response states about the requests that it takes from all routers together.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind whether a limit is stated
 * @param requestsPerSecond the limit, from 0 to {@link #MAXIMUM_REQUESTS_PER_SECOND}; 0 unless one
 *     is stated
 */
public record LimitStatement(Kind kind, double requestsPerSecond) {
  /** Greatest limit; one that is stated as higher has the same effect. */
  public static final double MAXIMUM_REQUESTS_PER_SECOND = 1_000_000;

  /** The statement of a response that names no limit. */
  public static final LimitStatement NONE = new LimitStatement(Kind.NONE, 0);

  /** The statement of a response that names a limit which is not a number. */
  public static final LimitStatement UNREADABLE = new LimitStatement(Kind.UNREADABLE, 0);

  /** Kind of a statement. */
  public enum Kind {
    NONE,
    STATED,
    /** A limit is stated, but not as a number; it neither sets nor ends one. */
    UNREADABLE
  }

  /** Returns a statement of a limit in requests per second, which must not be negative or NaN. */
  public static LimitStatement of(double requestsPerSecond) {
    if (!(requestsPerSecond >= 0)) {
      throw new IllegalArgumentException("Not a limit: " + requestsPerSecond);
    }
    return new LimitStatement(
        Kind.STATED, Math.min(MAXIMUM_REQUESTS_PER_SECOND, requestsPerSecond));
  }
}
