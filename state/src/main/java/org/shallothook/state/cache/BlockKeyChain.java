package org.shallothook.state.cache;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
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
  private static final String ALGORITHM = "SHA-256";

  private BlockKeyChain() {}

  /**
   * Returns one key for each whole block, first block first.
   *
   * @param identity scope of reuse that seeds the chain
   * @param prompt rendered prompt in UTF-8
   * @param blockBytes bytes in a block, positive
   */
  public static List<BlockKey> keysOf(CacheIdentity identity, byte[] prompt, int blockBytes) {
    if (blockBytes <= 0) {
      throw new IllegalArgumentException("blockBytes must be positive, found " + blockBytes);
    }
    MessageDigest digest = newDigest();
    byte[] previous = seedOf(identity, digest);
    int blocks = prompt.length / blockBytes;
    List<BlockKey> keys = new ArrayList<>(blocks);
    for (int block = 0; block < blocks; block++) {
      digest.update(previous);
      digest.update(prompt, block * blockBytes, blockBytes);
      previous = digest.digest();
      keys.add(toKey(previous));
    }
    return List.copyOf(keys);
  }

  private static byte[] seedOf(CacheIdentity identity, MessageDigest digest) {
    ModelVersion version = identity.modelVersion();
    updateField(digest, identity.team());
    updateField(digest, version.model());
    updateField(digest, version.version());
    updateField(digest, version.adapter());
    return digest.digest();
  }

  private static void updateField(MessageDigest digest, String field) {
    byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
    digest.update(bytes);
  }

  private static BlockKey toKey(byte[] hash) {
    ByteBuffer buffer = ByteBuffer.wrap(hash);
    return new BlockKey(buffer.getLong(), buffer.getLong());
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance(ALGORITHM);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("Every Java runtime provides " + ALGORITHM, e);
    }
  }
}
