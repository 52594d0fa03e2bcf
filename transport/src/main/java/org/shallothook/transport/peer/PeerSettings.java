package org.shallothook.transport.peer;

import java.time.Duration;

/**
 * Limits and timeouts of connections to peers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param connectTimeout timeout of connecting, and separately of the peer's Hello
 * @param heartbeatInterval time without a write after which a heartbeat is sent
 * @param idleTimeout time without a message after which the side that opened a connection closes it
 * @param firstRetryDelay delay before reconnecting after the first failure
 * @param maximumRetryDelay upper bound of the delay between connect attempts
 * @param maximumFrameBytes maximum size of a frame without its length field
 * @param maximumPendingBytes size of a connection's write buffer at which it counts as full
 * @param maximumConnections maximum number of inbound connections
 */
public record PeerSettings(
    Duration connectTimeout,
    Duration heartbeatInterval,
    Duration idleTimeout,
    Duration firstRetryDelay,
    Duration maximumRetryDelay,
    int maximumFrameBytes,
    int maximumPendingBytes,
    int maximumConnections) {
  /** Default settings. */
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

  private static final int MISSED_HEARTBEATS = 3;

  /** Returns the time without any frame from the peer after which the connection counts as lost. */
  Duration silenceTimeout() {
    return heartbeatInterval.multipliedBy(MISSED_HEARTBEATS);
  }
}
