package org.shallothook.transport.forward;

import java.time.Duration;

/**
 * Settings of connections to callers and servers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param connectTimeout longest wait for a connection to a server; a few round trips between
 *     failure domains
 * @param idleTimeout longest time that an unused connection to a server is kept where the server
 *     names none
 * @param longestIdle longest time that any unused connection to a server is kept
 * @param freshIdle longest time that a connection may have been unused before a request that may
 *     not be repeated goes over it
 * @param maximumIdle greatest number of unused connections to one server
 * @param maximumCallers greatest number of connections of callers
 * @param drainQuiet time after which a draining process refuses new requests; longer than the two
 *     questions after which a balancer stops to choose it
 */
public record ForwardSettings(
    Duration connectTimeout,
    Duration idleTimeout,
    Duration longestIdle,
    Duration freshIdle,
    int maximumIdle,
    int maximumCallers,
    Duration drainQuiet) {
  /** Settings of a process whose file names none. */
  public static final ForwardSettings DEFAULT =
      new ForwardSettings(
          Duration.ofMillis(400),
          Duration.ofMillis(1_500),
          Duration.ofSeconds(20),
          Duration.ofMillis(2_500),
          24,
          3_000,
          Duration.ofMillis(2_600));
}
