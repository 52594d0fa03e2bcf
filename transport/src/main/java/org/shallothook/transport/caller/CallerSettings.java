package org.shallothook.transport.caller;

import java.time.Duration;

/**
 * Settings of the server for callers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maximumBodyBytes greatest size of a request's body
 * @param maximumGatheredBytes greatest size of all bodies that are not whole or wait, together
 * @param maximumPendingBytes greatest number of bytes waiting to be written to one caller
 * @param maximumConnections greatest number of open connections
 * @param requestTimeout longest time from the first byte of a request to its last
 * @param idleTimeout longest time that a connection stays open without a request
 * @param stallTimeout longest time that a caller may take nothing of a waiting answer
 */
public record CallerSettings(
    int maximumBodyBytes,
    long maximumGatheredBytes,
    int maximumPendingBytes,
    int maximumConnections,
    Duration requestTimeout,
    Duration idleTimeout,
    Duration stallTimeout) {
  /** Settings of a process whose file names none. */
  public static final CallerSettings DEFAULT =
      new CallerSettings(
          1 << 20,
          16 << 20,
          256 << 10,
          4_096,
          Duration.ofSeconds(30),
          Duration.ofSeconds(75),
          Duration.ofSeconds(60));
}
