package org.shallothook.state.cache;

import java.util.List;

/**
 * Computes the chained keys of the complete blocks of a prompt.
 *
 * <p>Each key covers the cache identity, all earlier blocks and its own block. A trailing partial
 * block has no key.
 *
 * <pre>{@code
 * List<BlockKey> keys = BlockKeyChain.keysOf(identity, prompt, 4_000);
 * }</pre>
 *
 * <p>Invariant: the same identity, prompt and block size give the same keys in every process.
 * Stateless and thread-safe.
 */
public final class BlockKeyChain {
  private BlockKeyChain() {}

  /**
   * Returns one key for each complete block, in the order of the prompt.
   *
   * @param identity cache identity that seeds the chain
   * @param prompt rendered prompt in UTF-8
   * @param blockBytes size of a block in bytes, positive
   */
  public static List<BlockKey> keysOf(CacheIdentity identity, byte[] prompt, int blockBytes) {
    return BlockKeyPrefix.empty(identity, blockBytes).extend(prompt).keys();
  }
}
