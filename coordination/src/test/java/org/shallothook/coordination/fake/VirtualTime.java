package org.shallothook.coordination.fake;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs scheduled actions in virtual time. Actions with equal times run in the order in which they
 * were scheduled. Times are in microseconds. Not thread-safe.
 */
public final class VirtualTime {
  private record Action(long atMicros, long sequence, Runnable body) {}

  private final PriorityQueue<Action> actions =
      new PriorityQueue<>(
          Comparator.comparingLong(Action::atMicros).thenComparing(Action::sequence));
  private long nowMicros;
  private long sequence;

  public VirtualTime(long startMicros) {
    nowMicros = startMicros;
  }

  public long now() {
    return nowMicros;
  }

  public void schedule(long delayMicros, Runnable body) {
    actions.add(new Action(nowMicros + delayMicros, sequence++, body));
  }

  /** Runs all actions due up to a time, including those scheduled meanwhile. */
  public void runUntil(long endMicros) {
    while (!actions.isEmpty() && actions.peek().atMicros() <= endMicros) {
      Action action = actions.remove();
      nowMicros = Math.max(nowMicros, action.atMicros());
      action.body().run();
    }
    nowMicros = Math.max(nowMicros, endMicros);
  }
}
