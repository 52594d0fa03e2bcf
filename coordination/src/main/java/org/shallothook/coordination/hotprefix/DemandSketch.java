package org.shallothook.coordination.hotprefix;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothook.state.cache.BlockKey;

/**
 * Recent request rates of the most requested prefixes, in bounded space.
 *
 * <p>This is the space-saving algorithm with exponentially decaying counts: a prefix that is not
 * tracked replaces the least requested one and inherits its count as possible error. Rates exclude
 * the error, so they are never overestimated.
 *
 * <p>Invariant: at most the given number of prefixes is tracked. Not thread-safe: used on the
 * decision thread.
 */
final class DemandSketch {
  private static final double HALF_LIFE_MICROS = 1_000_000;
  private static final double MICROS_PER_SECOND = 1_000_000;

  private static final class Entry {
    private BlockPrefix prefix;
    private int requests;
    private boolean isPriority;
    private double count;
    private double error;
    private long updatedMicros;

    private Entry(BlockPrefix prefix, double inherited, long nowMicros) {
      this.prefix = prefix;
      this.count = inherited;
      this.error = inherited;
      this.updatedMicros = nowMicros;
    }

    private void decayTo(long nowMicros) {
      double factor = Math.pow(0.5, (nowMicros - updatedMicros) / HALF_LIFE_MICROS);
      count *= factor;
      error *= factor;
      updatedMicros = nowMicros;
    }

    private double ratePerSecond() {
      return (count - error) * Math.log(2) * MICROS_PER_SECOND / HALF_LIFE_MICROS;
    }
  }

  private final int maximumPrefixes;
  private final Map<BlockKey, Entry> entries = new HashMap<>();

  DemandSketch(int maximumPrefixes) {
    this.maximumPrefixes = maximumPrefixes;
  }

  /**
   * Counts one request for a prefix.
   *
   * @param prefix the requested prefix
   * @param isPriority whether the request was priority work
   * @param nowMicros time of the request
   */
  void record(BlockPrefix prefix, boolean isPriority, long nowMicros) {
    Entry entry = entries.get(prefix.key());
    if (entry == null) {
      entry = track(prefix, nowMicros);
    }
    entry.decayTo(nowMicros);
    entry.count++;
    entry.requests++;
    entry.isPriority |= isPriority;
    entry.prefix = prefix;
  }

  /** Returns the most recently requested prefix with the given key, if it is tracked. */
  Optional<BlockPrefix> find(BlockKey key) {
    return Optional.ofNullable(entries.get(key)).map(entry -> entry.prefix);
  }

  /** Returns a lower bound of the requests per second for a prefix; 0 if it is not tracked. */
  double ratePerSecond(BlockKey key, long nowMicros) {
    Entry entry = entries.get(key);
    if (entry == null) {
      return 0;
    }
    entry.decayTo(nowMicros);
    return entry.ratePerSecond();
  }

  /** Multiplies the recorded demand for a prefix, in anticipation of a change of its spread. */
  void scale(BlockKey key, double factor) {
    Entry entry = entries.get(key);
    if (entry != null) {
      entry.count *= factor;
      entry.error *= factor;
    }
  }

  /** Returns the prefixes requested more than once, or by priority work, deepest first. */
  List<BlockPrefix> exportCandidates() {
    List<BlockPrefix> candidates = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.requests > 1 || entry.isPriority) {
        candidates.add(entry.prefix);
      }
    }
    candidates.sort(Comparator.comparingInt(BlockPrefix::depth).reversed());
    return candidates;
  }

  /** Returns the number of tracked prefixes. */
  int size() {
    return entries.size();
  }

  private Entry track(BlockPrefix prefix, long nowMicros) {
    double inherited = 0;
    if (entries.size() >= maximumPrefixes) {
      Entry least = leastRequested(nowMicros).orElseThrow();
      entries.remove(least.prefix.key());
      inherited = least.count;
    }
    Entry entry = new Entry(prefix, inherited, nowMicros);
    entries.put(prefix.key(), entry);
    return entry;
  }

  private Optional<Entry> leastRequested(long nowMicros) {
    Entry least = null;
    for (Entry entry : entries.values()) {
      entry.decayTo(nowMicros);
      if (least == null || entry.count < least.count) {
        least = entry;
      }
    }
    return Optional.ofNullable(least);
  }
}
