package org.shallothook.coordination.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import org.shallothook.coordination.message.Hint;

/**
 * Remembers over how many ranks the homes of hot prefixes have spread them.
 *
 * <p>Soft state: an unknown prefix has a spread of 1 and its home tells better with the next hint.
 *
 * <p>Invariant: at most {@link #MAXIMUM_ENTRIES} entries; an entry is void after its deadline. Not
 * thread-safe.
 */
public final class SpreadCache {
  /** Greatest number of prefixes remembered. */
  public static final int MAXIMUM_ENTRIES = 4_096;

  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final long validityMicros;
  private final LinkedHashMap<Long, Entry> entries =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

  /**
   * Creates an empty cache.
   *
   * @param validityMicros how long a hint holds, in microseconds
   */
  public SpreadCache(long validityMicros) {
    this.validityMicros = validityMicros;
  }

  /** Returns the number of ranks that a home level is spread over, at least 1. */
  public int spreadOf(PrefixLevel home, long nowMicros) {
    Entry entry = entries.get(home.hash());
    return entry == null || entry.untilMicros() < nowMicros ? 1 : entry.spread();
  }

  /**
   * Takes in a hint of the upstream at rank 0. A hint that names no spread leaves an earlier one to
   * its deadline, because it may be about another prompt of the same home.
   *
   * @param home home level of the prompt
   * @param hint hint of the upstream at rank 0
   * @param nowMicros time of the hint
   */
  public void learn(PrefixLevel home, Hint hint, long nowMicros) {
    if (hint.spread() <= 1) {
      return;
    }
    entries.put(home.hash(), new Entry(hint.spread(), nowMicros + validityMicros));
    evictEldest();
  }

  private void evictEldest() {
    if (entries.size() > MAXIMUM_ENTRIES) {
      Map.Entry<Long, Entry> eldest = entries.entrySet().iterator().next();
      entries.remove(eldest.getKey());
    }
  }

  private record Entry(int spread, long untilMicros) {}
}
