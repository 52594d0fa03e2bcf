package org.shallothook.standins.weights;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.shallothook.standins.fault.InjectedFaults;

/**
 * Simulates the weight store. A fetch takes longer the more fetches are running when it starts, and
 * fetches are rate-limited.
 *
 * <p>Not thread-safe.
 */
public final class WeightStoreModel {
  /** Maximum number of concurrent fetches that all run at full speed. */
  public static final int FULL_SPEED_FETCHES = 2;

  private static final long SECOND_MICROS = 1_000_000;

  private final long fetchMicros;
  private final int fetchesPerSecond;
  private final InjectedFaults disturbances = new InjectedFaults();
  private final List<Long> endTimes = new ArrayList<>();
  private final List<Long> recentStartTimes = new ArrayList<>();
  private int greatestConcurrent;
  private long refusedOverRate;
  private long fetches;

  /**
   * Creates a store.
   *
   * @param fetchMicros duration of a fetch at full speed, in microseconds
   * @param fetchesPerSecond maximum number of fetches started within any one second
   */
  public WeightStoreModel(long fetchMicros, int fetchesPerSecond) {
    this.fetchMicros = fetchMicros;
    this.fetchesPerSecond = fetchesPerSecond;
  }

  /** Returns the injected faults. */
  public InjectedFaults disturbances() {
    return disturbances;
  }

  /**
   * Starts a fetch and returns its end time in microseconds, or empty if the rate limit refuses it.
   */
  public OptionalLong begin(long nowMicros) {
    recentStartTimes.removeIf(start -> start <= nowMicros - SECOND_MICROS);
    if (recentStartTimes.size() >= fetchesPerSecond) {
      refusedOverRate++;
      return OptionalLong.empty();
    }
    recentStartTimes.add(nowMicros);
    endTimes.removeIf(end -> end <= nowMicros);
    int concurrent = endTimes.size() + 1;
    greatestConcurrent = Math.max(greatestConcurrent, concurrent);
    long effectiveConcurrency = Math.max(concurrent, FULL_SPEED_FETCHES);
    long end = nowMicros + fetchMicros * effectiveConcurrency / FULL_SPEED_FETCHES;
    endTimes.add(end);
    fetches++;
    return OptionalLong.of(end);
  }

  /** Returns the maximum number of fetches that ran concurrently. */
  public int greatestConcurrent() {
    return greatestConcurrent;
  }

  /** Returns the number of fetches that are running at the given time. */
  public long running(long nowMicros) {
    return endTimes.stream().filter(end -> end > nowMicros).count();
  }

  /** Returns the number of fetches refused by the rate limit. */
  public long refusedOverRate() {
    return refusedOverRate;
  }

  /** Returns the number of fetches started. */
  public long fetches() {
    return fetches;
  }
}
