package org.shallothook.transport.forward;

import io.netty.util.internal.PlatformDependent;
import java.time.Duration;

/**
 * Settings of the connections from callers and to servers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param connectTimeout timeout for connecting to a server; a few round trips between failure
 *     domains
 * @param idleTimeout time after which an idle connection is closed if the server does not announce
 *     a keep-alive timeout
 * @param maximumIdleTime time after which an idle connection is closed even if the server announces
 *     a longer keep-alive timeout
 * @param nonRepeatableIdleTime maximum idle time of a connection that is reused for a request that
 *     must not be repeated
 * @param maximumIdleConnections maximum number of idle connections to one server
 * @param maximumCallerConnections maximum number of caller connections
 * @param drainPeriod time between the start of draining and the refusal of new requests; longer
 *     than the two health checks after which a load balancer stops choosing the process
 * @param maximumHeldBytes maximum size of all request bodies, from their first byte to the end of
 *     their request, and of all responses that wait in the process for their rest or for their
 *     callers
 */
public record ForwardSettings(
    Duration connectTimeout,
    Duration idleTimeout,
    Duration maximumIdleTime,
    Duration nonRepeatableIdleTime,
    int maximumIdleConnections,
    int maximumCallerConnections,
    Duration drainPeriod,
    long maximumHeldBytes) {
  /**
   * Share of the direct memory that request bodies and responses may use; the rest is for peers,
   * the platform, and the unused parts of buffers.
   */
  private static final long DIRECT_MEMORY_DIVISOR = 2;

  /** Settings used if the settings file has none. */
  public static final ForwardSettings DEFAULT =
      new ForwardSettings(
          Duration.ofMillis(400),
          Duration.ofMillis(1_500),
          Duration.ofSeconds(20),
          Duration.ofMillis(2_500),
          24,
          3_000,
          Duration.ofMillis(2_600),
          PlatformDependent.maxDirectMemory() / DIRECT_MEMORY_DIVISOR);

  /** Divisor of the grace period: how much of it may pass before new requests are refused. */
  private static final int DRAIN_PERIOD_DIVISOR = 2;

  /**
   * Returns these settings with a drain period that leaves at least half of the grace period of a
   * stop to the requests that are open.
   */
  public ForwardSettings withinGracePeriod(Duration gracePeriod) {
    Duration longest = gracePeriod.dividedBy(DRAIN_PERIOD_DIVISOR);
    return new ForwardSettings(
        connectTimeout,
        idleTimeout,
        maximumIdleTime,
        nonRepeatableIdleTime,
        maximumIdleConnections,
        maximumCallerConnections,
        drainPeriod.compareTo(longest) <= 0 ? drainPeriod : longest,
        maximumHeldBytes);
  }

  /** Returns these settings with another maximum size of request bodies and responses. */
  public ForwardSettings withMaximumHeldBytes(long newMaximumHeldBytes) {
    return new ForwardSettings(
        connectTimeout,
        idleTimeout,
        maximumIdleTime,
        nonRepeatableIdleTime,
        maximumIdleConnections,
        maximumCallerConnections,
        drainPeriod,
        newMaximumHeldBytes);
  }
}
