package org.shallothook.transport.caller;

import java.time.Duration;

/**
 * Settings of the server for callers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maximumBodyBytes maximum size of a request body
 * @param maximumBufferedBodyBytes maximum total size of the bodies that are being received or
 *     queued
 * @param maximumPendingBytes maximum number of bytes waiting to be written to one caller
 * @param maximumConnections maximum number of open connections
 * @param requestTimeout maximum time from the head of a request to its last byte
 * @param idleTimeout time after which a connection without an open request is closed
 * @param stallTimeout maximum time without progress while bytes wait to be written to a caller
 */
public record CallerSettings(
    int maximumBodyBytes,
    long maximumBufferedBodyBytes,
    int maximumPendingBytes,
    int maximumConnections,
    Duration requestTimeout,
    Duration idleTimeout,
    Duration stallTimeout) {
  /** Settings used if the settings file has none. */
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
