package org.shallothook.transport.platform;

import java.time.Duration;

/**
 * Settings of an HTTP client.
 *
 * <p>Immutable and thread-safe.
 *
 * @param connectTimeout longest wait for a connection
 * @param idleTimeout longest time that an unused connection is kept
 * @param maximumIdleConnections greatest number of unused connections to one server
 * @param maximumAnswerBytes greatest size of a whole answer
 */
public record HttpSettings(
    Duration connectTimeout,
    Duration idleTimeout,
    int maximumIdleConnections,
    int maximumAnswerBytes) {
  /** Settings of a process whose file names none. */
  public static final HttpSettings DEFAULT =
      new HttpSettings(Duration.ofMillis(500), Duration.ofSeconds(5), 2, 6 << 20);
}
