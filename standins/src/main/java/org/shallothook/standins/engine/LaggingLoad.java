package org.shallothook.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;

/** Number of running streams as it was some time ago. Not thread-safe. */
final class LaggingLoad {
  private final long lagMicros;
  private final Deque<Sample> samples = new ArrayDeque<>();
  private int shown;

  LaggingLoad(long lagMicros) {
    this.lagMicros = lagMicros;
  }

  void record(int running, long nowMicros) {
    samples.addLast(new Sample(nowMicros + lagMicros, running));
    shownAt(nowMicros);
  }

  int shownAt(long nowMicros) {
    while (!samples.isEmpty() && samples.getFirst().shownFromMicros <= nowMicros) {
      shown = samples.removeFirst().running;
    }
    return shown;
  }

  private record Sample(long shownFromMicros, int running) {}
}
