package org.shallothook.transport.peer;

import java.time.Duration;

/**
 * Settings of connections to peers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param connectTimeout longest wait for a connection and the peer's first message
 * @param heartbeatInterval longest silence that this process keeps on an open connection
 * @param idleTimeout age of the last message after which the opener closes a connection
 * @param firstRetryDelay delay of the first attempt after a failed one
 * @param longestRetryDelay greatest delay between attempts
 * @param maximumFrameBytes greatest size of a frame
 * @param maximumPendingBytes greatest number of bytes waiting to be written to one peer
 * @param maximumConnections greatest number of accepted connections
 */
public record PeerSettings(
    Duration connectTimeout,
    Duration heartbeatInterval,
    Duration idleTimeout,
    Duration firstRetryDelay,
    Duration longestRetryDelay,
    int maximumFrameBytes,
    int maximumPendingBytes,
    int maximumConnections) {
  /** Settings of a process whose file names none. */
  public static final PeerSettings DEFAULT =
      new PeerSettings(
          Duration.ofMillis(500),
          Duration.ofSeconds(5),
          Duration.ofSeconds(15),
          Duration.ofMillis(50),
          Duration.ofSeconds(2),
          8 << 20,
          16 << 20,
          4_096);

  private static final int SILENT_INTERVALS = 3;

  /** Returns the silence of a peer after which its connection counts as lost. */
  Duration silenceTimeout() {
    return heartbeatInterval.multipliedBy(SILENT_INTERVALS);
  }
}
