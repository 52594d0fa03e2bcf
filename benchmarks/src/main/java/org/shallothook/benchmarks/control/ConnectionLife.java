package org.shallothook.benchmarks.control;

import org.shallothook.transport.peer.PeerSettings;

/**
 * One connection, followed by the times of its messages.
 *
 * <p>Not thread-safe.
 */
final class ConnectionLife {
  private static final long HEARTBEAT_MICROS =
      PeerSettings.DEFAULT.heartbeatInterval().toNanos() / 1_000;
  private static final long IDLE_MICROS = PeerSettings.DEFAULT.idleTimeout().toNanos() / 1_000;

  private final long startMicros;
  private final long endMicros;
  private final long[] writtenMicros;
  private long messageMicros;
  private int heartbeats;

  /**
   * Creates a connection that opens now.
   *
   * @param startMicros start of the window in which heartbeats count
   * @param endMicros end of that window
   * @param nowMicros time of the opening
   */
  ConnectionLife(long startMicros, long endMicros, long nowMicros) {
    this.startMicros = startMicros;
    this.endMicros = endMicros;
    writtenMicros = new long[] {nowMicros, nowMicros};
    messageMicros = nowMicros;
  }

  boolean hasClosed(long nowMicros) {
    return nowMicros - messageMicros > IDLE_MICROS;
  }

  void onMessage(boolean isOfFirst, long nowMicros) {
    int end = isOfFirst ? 0 : 1;
    beat(end, nowMicros);
    writtenMicros[end] = nowMicros;
    messageMicros = nowMicros;
  }

  void close(long nowMicros) {
    long closedMicros = Math.min(nowMicros, messageMicros + IDLE_MICROS);
    beat(0, closedMicros);
    beat(1, closedMicros);
  }

  /** Returns the heartbeats of both ends in the window. */
  int heartbeats() {
    return heartbeats;
  }

  private void beat(int end, long untilMicros) {
    for (long at = writtenMicros[end] + HEARTBEAT_MICROS;
        at < untilMicros;
        at += HEARTBEAT_MICROS) {
      heartbeats += at >= startMicros && at < endMicros ? 1 : 0;
    }
  }
}
