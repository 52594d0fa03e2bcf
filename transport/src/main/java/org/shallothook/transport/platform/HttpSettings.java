package org.shallothook.transport.platform;

import java.time.Duration;

/**
 * Limits and timeouts of an HTTP client.
 *
 * <p>Immutable and thread-safe.
 *
 * @param connectTimeout timeout of connecting
 * @param idleTimeout time after which an idle pooled connection is closed
 * @param maximumIdleConnections maximum number of idle connections to one server
 * @param maximumResponseBytes maximum body size of a buffered response
 */
public record HttpSettings(
    Duration connectTimeout,
    Duration idleTimeout,
    int maximumIdleConnections,
    int maximumResponseBytes) {
  /** Default settings. */
  public static final HttpSettings DEFAULT =
      new HttpSettings(Duration.ofMillis(500), Duration.ofSeconds(5), 2, 6 << 20);
}
