package org.shallothook.benchmarks.measure;

import java.util.ArrayList;
import java.util.List;
import org.shallothook.benchmarks.virtual.PromptChain;
import org.shallothook.standins.cache.BlockCache;
import org.shallothook.standins.cache.CacheFeed;
import org.shallothook.standins.engine.EngineSettings;

/**
 * Placement that knows every cache exactly and needs no time: the bound of hit rates.
 *
 * <p>Each prompt goes to the engine that has most of it cached; among equals, to the one with the
 * fewest prompts so far. Queueing is left out, so that no load stands against a hit.
 *
 * <p>Stateless and thread-safe.
 */
final class Omniscient {
  private Omniscient() {}

  /** Returns the hit rate over the prompts from a time on; earlier ones fill the caches. */
  static double hitRate(
      List<PromptChain> chains, int engines, EngineSettings settings, long fromMicros) {
    List<BlockCache> caches = new ArrayList<>();
    for (int engine = 0; engine < engines; engine++) {
      caches.add(new BlockCache(settings.cacheBlocks(), new CacheFeed(0)));
    }
    int[] placed = new int[engines];
    long promptTokens = 0;
    long cachedTokens = 0;
    for (PromptChain chain : chains) {
      int best = bestOf(caches, placed, chain);
      placed[best]++;
      BlockCache cache = caches.get(best);
      int matched = cache.match(chain.identity(), chain.keys());
      cache.store(chain.identity(), chain.keys(), chain.atMicros());
      if (chain.atMicros() >= fromMicros) {
        promptTokens += chain.promptTokens();
        cachedTokens += (long) matched * settings.blockTokens();
      }
    }
    return promptTokens == 0 ? 0 : (double) cachedTokens / promptTokens;
  }

  private static int bestOf(List<BlockCache> caches, int[] placed, PromptChain chain) {
    int best = 0;
    int bestMatched = -1;
    for (int engine = 0; engine < caches.size(); engine++) {
      int matched = caches.get(engine).matchedBlocks(chain.identity(), chain.keys());
      boolean isBetter = matched > bestMatched;
      boolean isEqualAndLighter = matched == bestMatched && placed[engine] < placed[best];
      if (isBetter || isEqualAndLighter) {
        best = engine;
        bestMatched = matched;
      }
    }
    return best;
  }
}
