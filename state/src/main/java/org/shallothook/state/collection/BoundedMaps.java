package org.shallothook.state.collection;

import java.util.Map;

/**
 * Operations that keep maps in insertion order within a bound; the eldest entries go first.
 *
 * <p>Stateless and thread-safe; the maps are not.
 */
public final class BoundedMaps {
  private BoundedMaps() {}

  /**
   * Adds an entry, or replaces the one of the same key, as the newest, and removes the eldest
   * entries beyond a bound.
   */
  public static <K, V> void putNewest(Map<K, V> entries, K key, V value, int maximumSize) {
    entries.remove(key);
    entries.put(key, value);
    removeEldest(entries, maximumSize);
  }

  /** Removes the eldest entries beyond a bound. */
  public static void removeEldest(Map<?, ?> entries, int maximumSize) {
    while (entries.size() > maximumSize) {
      entries.remove(entries.keySet().iterator().next());
    }
  }
}
