package org.shallothook.coordination.warmup;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.BlockKeyChain;
import org.shallothook.state.cache.CacheIdentity;

/**
 * Prefix that all prompts of a tenant share, in whole blocks, with its block keys for a new model
 * version and an earlier one.
 *
 * <p>Invariant: the keys equal those that routers derive from the tenant's prompts. Immutable and
 * thread-safe.
 */
final class TenantPrefix {
  private static final int CONTINUATION_MASK = 0xC0;
  private static final int CONTINUATION = 0x80;

  private final CacheIdentity identity;
  private final CacheIdentity earlierIdentity;
  private final byte[] text;
  private final int blockBytes;
  private final List<BlockKey> keys;
  private final List<BlockKey> earlierKeys;
  private final boolean isPriority;

  TenantPrefix(
      CacheIdentity identity,
      CacheIdentity earlierIdentity,
      String text,
      int blockBytes,
      boolean isPriority) {
    this.identity = identity;
    this.earlierIdentity = earlierIdentity;
    this.text = text.getBytes(StandardCharsets.UTF_8);
    this.blockBytes = blockBytes;
    this.keys = BlockKeyChain.keysOf(identity, this.text, blockBytes);
    this.earlierKeys = BlockKeyChain.keysOf(earlierIdentity, this.text, blockBytes);
    this.isPriority = isPriority;
  }

  /** Returns the scope of cache reuse with the new model version. */
  CacheIdentity identity() {
    return identity;
  }

  /** Returns the scope of cache reuse with the earlier model version. */
  CacheIdentity earlierIdentity() {
    return earlierIdentity;
  }

  /** Returns the block keys for the new model version. */
  List<BlockKey> keys() {
    return keys;
  }

  /** Returns the block keys for the earlier model version. */
  List<BlockKey> earlierKeys() {
    return earlierKeys;
  }

  /** Returns whether the team is in the priority class. */
  boolean isPriority() {
    return isPriority;
  }

  /**
   * Returns the hash by which upstreams are ranked for prompts with this prefix under the earlier
   * version.
   */
  long earlierHash() {
    BlockKey last = earlierKeys.get(earlierKeys.size() - 1);
    return RendezvousHash.combine(last.high(), last.low());
  }

  /**
   * Returns a prompt of the given number of leading blocks. It is extended to the end of a UTF-8
   * character that the last block would cut.
   */
  String prompt(int blocks) {
    int end = blocks * blockBytes;
    while (end < text.length && (text[end] & CONTINUATION_MASK) == CONTINUATION) {
      end++;
    }
    return new String(Arrays.copyOf(text, end), StandardCharsets.UTF_8);
  }
}
