package org.shallothook.coordination.placement;

import java.util.LinkedHashMap;
import java.util.List;
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

  /** Returns the number of ranks that a level is spread over, at least 1. */
  public int spreadOf(PrefixLevel level, long nowMicros) {
    Entry entry = entries.get(level.hash());
    return entry == null || entry.untilMicros() < nowMicros ? 1 : entry.spread();
  }

  /**
   * Takes in a hint of the home of a prompt.
   *
   * @param levels levels of the prompt, deepest first
   * @param hint hint of the upstream at rank 0
   * @param nowMicros time of the hint
   */
  public void learn(List<PrefixLevel> levels, Hint hint, long nowMicros) {
    PrefixLevel level = levelOf(levels, hint.spreadBlocks());
    if (hint.spread() <= 1) {
      entries.remove(level.hash());
      return;
    }
    entries.put(level.hash(), new Entry(hint.spread(), nowMicros + validityMicros));
    evictEldest();
  }

  private static PrefixLevel levelOf(List<PrefixLevel> levels, int blocks) {
    PrefixLevel shallowest = levels.get(levels.size() - 1);
    for (PrefixLevel level : levels) {
      boolean isShared = level.kind() != PrefixLevel.Kind.CONVERSATION;
      if (isShared && level.blocks() <= blocks) {
        return level;
      }
    }
    return shallowest;
  }

  private void evictEldest() {
    if (entries.size() > MAXIMUM_ENTRIES) {
      Map.Entry<Long, Entry> eldest = entries.entrySet().iterator().next();
      entries.remove(eldest.getKey());
    }
  }

  private record Entry(int spread, long untilMicros) {}
}
