package org.shallothook.standins.weights;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.shallothook.standins.fault.Disturbances;

/**
 * The weight store: each fetch takes its time, longer while many run, and fetches are rate-limited.
 *
 * <p>Not thread-safe.
 */
public final class WeightStoreModel {
  /** Fetches that run at full speed side by side. */
  public static final int FULL_SPEED_FETCHES = 2;

  private static final long SECOND_MICROS = 1_000_000;

  private final long fetchMicros;
  private final int fetchesPerSecond;
  private final Disturbances disturbances = new Disturbances();
  private final List<Long> ends = new ArrayList<>();
  private final List<Long> recentStarts = new ArrayList<>();
  private int greatestConcurrent;
  private long limited;
  private long fetches;

  /**
   * Creates a store.
   *
   * @param fetchMicros time of one fetch at full speed, in microseconds
   * @param fetchesPerSecond greatest number of fetches begun within a second
   */
  public WeightStoreModel(long fetchMicros, int fetchesPerSecond) {
    this.fetchMicros = fetchMicros;
    this.fetchesPerSecond = fetchesPerSecond;
  }

  /** Returns the faults in force. */
  public Disturbances disturbances() {
    return disturbances;
  }

  /** Begins a fetch and returns when it ends, or empty over the rate limit. */
  public OptionalLong begin(long nowMicros) {
    recentStarts.removeIf(start -> start <= nowMicros - SECOND_MICROS);
    if (recentStarts.size() >= fetchesPerSecond) {
      limited++;
      return OptionalLong.empty();
    }
    recentStarts.add(nowMicros);
    ends.removeIf(end -> end <= nowMicros);
    int concurrent = ends.size() + 1;
    greatestConcurrent = Math.max(greatestConcurrent, concurrent);
    long share = Math.max(concurrent, FULL_SPEED_FETCHES);
    long end = nowMicros + fetchMicros * share / FULL_SPEED_FETCHES;
    ends.add(end);
    fetches++;
    return OptionalLong.of(end);
  }

  /** Returns the greatest number of fetches that ran at once. */
  public int greatestConcurrent() {
    return greatestConcurrent;
  }

  /** Returns the number of fetches that run now. */
  public long running(long nowMicros) {
    return ends.stream().filter(end -> end > nowMicros).count();
  }

  /** Returns the number of fetches refused over the rate limit. */
  public long limited() {
    return limited;
  }

  /** Returns the number of fetches begun. */
  public long fetches() {
    return fetches;
  }
}
