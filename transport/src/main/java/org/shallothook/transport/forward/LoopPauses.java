package org.shallothook.transport.forward;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Tells when the event loop has stood still, and for how long after it nothing should be begun.
 *
 * <p>Pattern answered: a process that was paused finds requests of callers who have left meanwhile.
 * The bytes of a request are read before the end of its connection, so that requests read right
 * after a pause wait until the loop has read once more.
 *
 * <p>Invariant: without pauses everything may be begun at once. Used on the loop alone.
 */
final class LoopPauses {
  /** Time between two beats. */
  static final Duration BEAT = Duration.ofMillis(100);

  /** Time that the loop needs to read what has piled up. */
  static final Duration SETTLE = Duration.ofMillis(20);

  /** Time without a beat from which on callers may have left unseen; well below half a second. */
  private static final long PAUSE_MICROS = TimeUnit.MILLISECONDS.toMicros(250);

  private long beatAtMicros;
  private long settledAtMicros;

  /** Creates a state in which the loop has just beaten. */
  LoopPauses(long nowMicros) {
    beatAtMicros = nowMicros;
    settledAtMicros = nowMicros;
  }

  /** Takes in that the loop runs. */
  void beat(long nowMicros) {
    if (isPaused(nowMicros)) {
      settledAtMicros = nowMicros + TimeUnit.NANOSECONDS.toMicros(SETTLE.toNanos());
    }
    beatAtMicros = nowMicros;
  }

  /** Returns whether what was just read may be begun. */
  boolean isSettled(long nowMicros) {
    return !isPaused(nowMicros) && nowMicros >= settledAtMicros;
  }

  private boolean isPaused(long nowMicros) {
    return nowMicros - beatAtMicros > PAUSE_MICROS;
  }
}
