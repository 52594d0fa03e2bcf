package org.shallothook.standins.engine;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.shallothook.state.cache.BlockKey;

/** Mutable counters of an engine. Not thread-safe. */
final class EngineStatistics {
  long started;
  long ended;
  long cancelled;
  long lost;
  long crashes;
  long prefilledTokens;
  long cachedTokens;
  long decodedTokens;
  private final Map<BlockKey, Integer> computedBlocks = new HashMap<>();

  void recordComputed(List<BlockKey> keys) {
    keys.forEach(key -> computedBlocks.merge(key, 1, Integer::sum));
  }

  Map<BlockKey, Integer> computedBlocks() {
    return Collections.unmodifiableMap(computedBlocks);
  }

  EngineCounters counters() {
    return new EngineCounters(
        started, ended, cancelled, lost, crashes, prefilledTokens, cachedTokens, decodedTokens);
  }
}
