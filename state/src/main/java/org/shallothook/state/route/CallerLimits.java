package org.shallothook.state.route;

/**
 * Bounds of what a caller may send and how long it may take.
 *
 * <p>Immutable and thread-safe.
 *
 * @param headerBytes greatest size of a request's head, in bytes
 * @param bodyBytes greatest size of a request's body, in bytes
 * @param headerMillis longest time to send a head, in milliseconds
 * @param idleMillis longest time that a connection may be unused, in milliseconds
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {
  /** Limits in force until a configuration names others. */
  public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4 << 20, 3_000, 15_000);
}
