package org.shallothook.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;

/** Reports the number of running streams with a fixed delay. Not thread-safe. */
final class LaggingLoad {
  private final long lagMicros;
  private final Deque<Sample> samples = new ArrayDeque<>();
  private int reported;

  LaggingLoad(long lagMicros) {
    this.lagMicros = lagMicros;
  }

  void record(int running, long nowMicros) {
    samples.addLast(new Sample(nowMicros + lagMicros, running));
    reportedAt(nowMicros);
  }

  int reportedAt(long nowMicros) {
    while (!samples.isEmpty() && samples.getFirst().reportedFromMicros <= nowMicros) {
      reported = samples.removeFirst().running;
    }
    return reported;
  }

  private record Sample(long reportedFromMicros, int running) {}
}
