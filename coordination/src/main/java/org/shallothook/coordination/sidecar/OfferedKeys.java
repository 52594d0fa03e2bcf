package org.shallothook.coordination.sidecar;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothook.coordination.engine.CacheFollower;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.BlockKeyChain;
import org.shallothook.state.cache.BlockKeySample;

/**
 * Finds the whole keys behind those of an offer, which are abbreviated and a sample.
 *
 * <p>The keys of cached blocks and of prompts seen lately are known; any other is left abbreviated
 * and matches nothing. Once the prompt is here, its keys are derived from it, so an abbreviation
 * that two blocks share can make a hint wrong, and nothing else.
 *
 * <p>Invariant: remembers at most {@link #MAXIMUM_RECENT_KEYS} keys. Not thread-safe: used on the
 * decision thread.
 */
final class OfferedKeys {
  static final int MAXIMUM_RECENT_KEYS = 4_096;

  private final CacheFollower cache;
  private final int blockBytes;
  private final Map<BlockKey, BlockKey> recent = new RecentKeys();

  OfferedKeys(CacheFollower cache, int blockBytes) {
    this.cache = cache;
    this.blockBytes = blockBytes;
  }

  /** Returns the offer with a key for each block, whole where it is known. */
  PeerMessage.Offer resolve(PeerMessage.Offer offer) {
    List<BlockKey> known = offer.keys().stream().map(this::resolve).toList();
    return offer.withKeys(BlockKeySample.expand(known, offer.promptBytes() / blockBytes));
  }

  /**
   * Returns the keys of an offer whose prompt has come.
   *
   * @param offer the offer
   * @param prompt rendered prompt
   * @return keys derived from the prompt; where it has no whole block, the whole keys offered
   */
  List<BlockKey> derive(PeerMessage.Offer offer, String prompt) {
    byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
    List<BlockKey> derived = BlockKeyChain.keysOf(offer.identity(), bytes, blockBytes);
    derived.forEach(key -> recent.put(key.abbreviated(), key));
    if (derived.isEmpty()) {
      return offer.keys().stream().takeWhile(key -> !key.isAbbreviated()).toList();
    }
    return derived;
  }

  private BlockKey resolve(BlockKey key) {
    if (!key.isAbbreviated()) {
      return key;
    }
    return cache.find(key).or(() -> Optional.ofNullable(recent.get(key))).orElse(key);
  }

  /** Whole keys by abbreviation, the least recently used of which is forgotten first. */
  private static final class RecentKeys extends LinkedHashMap<BlockKey, BlockKey> {
    private static final long serialVersionUID = 1L;

    RecentKeys() {
      super(16, 0.75f, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<BlockKey, BlockKey> eldest) {
      return size() > MAXIMUM_RECENT_KEYS;
    }
  }
}
