package org.shallothook.state.cache;

import java.util.List;

/**
 * Computes the chained keys of a prompt's whole blocks.
 *
 * <p>Each key covers the cache identity, every earlier block and its own block. A trailing part
 * that does not fill a block has no key.
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
   * Returns one key for each whole block, first block first.
   *
   * @param identity scope of reuse that seeds the chain
   * @param prompt rendered prompt in UTF-8
   * @param blockBytes bytes in a block, positive
   */
  public static List<BlockKey> keysOf(CacheIdentity identity, byte[] prompt, int blockBytes) {
    return BlockKeyPrefix.empty(identity, blockBytes).extend(prompt).keys();
  }
}
