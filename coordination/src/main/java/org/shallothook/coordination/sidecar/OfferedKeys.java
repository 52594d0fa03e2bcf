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
 * Resolves the keys of an offer, which are abbreviated and only a sample, to whole block keys.
 *
 * <p>Keys of cached blocks and of recent prompts can be resolved; any other stays abbreviated and
 * matches no block. Once the prompt arrives, its keys are derived from its text. So a collision of
 * two abbreviations can make only a hint wrong.
 *
 * <p>Invariant: keeps at most {@link #MAXIMUM_RECENT_KEYS} keys of recent prompts. Not thread-safe:
 * used on the decision thread.
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

  /** Returns the offer with one key for each block, whole where it can be resolved. */
  PeerMessage.Offer resolve(PeerMessage.Offer offer) {
    List<BlockKey> known = offer.keys().stream().map(this::resolve).toList();
    return offer.withKeys(BlockKeySample.expand(known, offer.promptBytes() / blockBytes));
  }

  /**
   * Returns the keys of an offer whose prompt was submitted, and keeps them for later offers.
   *
   * @param offer resolved offer
   * @param prompt rendered prompt
   * @return keys derived from the prompt, or the leading whole keys of the offer if the prompt has
   *     no whole block
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

  /** Whole keys by abbreviation. The least recently used one is evicted first. */
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
