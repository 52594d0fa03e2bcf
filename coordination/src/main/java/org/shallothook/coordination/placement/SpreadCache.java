package org.shallothook.coordination.placement;

import java.util.LinkedHashMap;
import org.shallothook.coordination.message.Hint;
import org.shallothook.state.collection.BoundedMaps;

/**
 * Caches over how many ranks a hot prefix is spread, as its home reports it in hints.
 *
 * <p>Soft state: an unknown prefix has a spread of 1 until the next hint of its home corrects it.
 *
 * <p>Invariant: at most {@link #MAXIMUM_ENTRIES} entries; an entry is ignored after its expiry. Not
 * thread-safe.
 */
public final class SpreadCache {
  /** Maximum number of prefixes in the cache. */
  public static final int MAXIMUM_ENTRIES = 4_096;

  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final long validityMicros;
  private final LinkedHashMap<Long, Entry> entries =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

  /**
   * Creates an empty cache.
   *
   * @param validityMicros time for which a hint is valid, in microseconds
   */
  public SpreadCache(long validityMicros) {
    this.validityMicros = validityMicros;
  }

  /** Returns the number of ranks that a home level is spread over, at least 1. */
  public int spreadOf(PrefixLevel home, long nowMicros) {
    Entry entry = entries.get(home.hash());
    return entry == null || entry.expiresAtMicros() < nowMicros ? 1 : entry.spread();
  }

  /**
   * Records a hint of the upstream at rank 0. A hint without a spread leaves an earlier spread in
   * force until it expires, because the hint may refer to another prompt with the same home.
   *
   * @param home home level of the prompt
   * @param hint hint of the upstream at rank 0
   * @param nowMicros time at which the hint was received
   */
  public void onHint(PrefixLevel home, Hint hint, long nowMicros) {
    if (hint.spread() <= 1) {
      return;
    }
    entries.put(home.hash(), new Entry(hint.spread(), nowMicros + validityMicros));
    BoundedMaps.removeEldest(entries, MAXIMUM_ENTRIES);
  }

  private record Entry(int spread, long expiresAtMicros) {}
}
