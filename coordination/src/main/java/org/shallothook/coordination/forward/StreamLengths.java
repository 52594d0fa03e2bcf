package org.shallothook.coordination.forward;

import java.util.HashMap;
import java.util.Map;

/**
 * How long the streams of each route run, learnt from those that have ended.
 *
 * <p>Not thread-safe.
 */
final class StreamLengths {
  /** Time from the first output to the end above which a stream is long, in microseconds. */
  private static final double LONG_MICROS = 500_000;

  private static final double SMOOTHING = 0.1;

  private final Map<String, Double> byRoute = new HashMap<>();

  /** Takes in the time from the first output of a stream to its end. */
  void onEnded(String route, long micros) {
    byRoute.merge(route, (double) micros, (known, newer) -> known + SMOOTHING * (newer - known));
  }

  /** Returns whether streams of a route run long. */
  boolean isLong(String route) {
    return byRoute.getOrDefault(route, 0.0) > LONG_MICROS;
  }
}
