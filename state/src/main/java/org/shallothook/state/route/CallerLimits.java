package org.shallothook.state.route;

/**
 * Limits on the size of a caller's requests and on the time that it may take.
 *
 * <p>Immutable and thread-safe.
 *
 * @param headerBytes maximum size of the head of a request, in bytes
 * @param bodyBytes maximum size of the body of a request, in bytes
 * @param headerMillis maximum time to send a head, in milliseconds
 * @param idleMillis maximum time that a connection may be idle, in milliseconds
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {
  /** Limits that apply until a configuration sets others. */
  public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4 << 20, 3_000, 15_000);
}
