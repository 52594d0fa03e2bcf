package org.shallothook.benchmarks.virtual;

import java.util.PriorityQueue;

/**
 * Actions in virtual time, carried out in order of time and, at one time, in order of scheduling.
 *
 * <p>Invariant: time never goes back. Not thread-safe.
 */
public final class EventQueue {
  private final PriorityQueue<Entry> entries = new PriorityQueue<>();
  private long nowMicros;
  private long sequence;

  /** Creates an empty queue at a time. */
  public EventQueue(long startMicros) {
    nowMicros = startMicros;
  }

  /** Returns the current time. */
  public long nowMicros() {
    return nowMicros;
  }

  /** Schedules an action; a past time stands for now. */
  public void at(long atMicros, Runnable action) {
    entries.add(new Entry(Math.max(atMicros, nowMicros), sequence++, action));
  }

  /** Schedules an action after a delay. */
  public void after(long delayMicros, Runnable action) {
    at(nowMicros + delayMicros, action);
  }

  /** Carries out everything up to and including a time. */
  public void runUntil(long untilMicros) {
    while (!entries.isEmpty() && entries.peek().atMicros <= untilMicros) {
      step();
    }
    nowMicros = Math.max(nowMicros, untilMicros);
  }

  /** Carries out the next action and returns whether there was one. */
  public boolean step() {
    Entry entry = entries.poll();
    if (entry == null) {
      return false;
    }
    nowMicros = entry.atMicros;
    entry.action.run();
    return true;
  }

  private record Entry(long atMicros, long sequence, Runnable action) implements Comparable<Entry> {
    @Override
    public int compareTo(Entry other) {
      int byTime = Long.compare(atMicros, other.atMicros);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
