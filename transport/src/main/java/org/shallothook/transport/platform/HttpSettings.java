package org.shallothook.transport.platform;

import java.time.Duration;

/**
 * Limits and timeouts of an HTTP client.
 *
 * <p>Immutable and thread-safe.
 *
 * @param connectTimeout timeout of connecting
 * @param idleTimeout time after which an idle connection is closed
 * @param maximumReuse time after its first response in which a connection is used again, which
 *     bounds the age of an earlier answer
 * @param maximumIdleConnections maximum number of idle connections for one request line
 * @param maximumResponseBytes maximum body size of a buffered response
 */
public record HttpSettings(
    Duration connectTimeout,
    Duration idleTimeout,
    Duration maximumReuse,
    int maximumIdleConnections,
    int maximumResponseBytes) {
  /** Default settings. */
  public static final HttpSettings DEFAULT =
      new HttpSettings(
          Duration.ofMillis(500), Duration.ofSeconds(5), Duration.ofSeconds(30), 2, 6 << 20);

  /** Part of one largest response that others may use beside it. */
  private static final int OTHER_RESPONSES_DIVISOR = 3;

  /** Returns the maximum size of all bodies that are buffered at once, in bytes. */
  int maximumBufferedBytes() {
    return maximumResponseBytes + maximumResponseBytes / OTHER_RESPONSES_DIVISOR;
  }
}
