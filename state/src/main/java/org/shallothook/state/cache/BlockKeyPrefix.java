package org.shallothook.state.cache;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;

/**
 * Keys of the complete blocks of a text, from which the keys of longer texts with the same
 * beginning are computed without hashing the shared blocks again.
 *
 * <p>Holds no text, only a key of 16 bytes for each block and the last digest.
 *
 * <p>Invariant: extending a prefix gives the same keys as computing them from the first byte.
 * Immutable and thread-safe.
 */
public final class BlockKeyPrefix {
  private static final String ALGORITHM = "SHA-256";

  private final List<BlockKey> keys;
  private final byte[] lastDigest;
  private final int blockBytes;

  private BlockKeyPrefix(List<BlockKey> keys, byte[] lastDigest, int blockBytes) {
    this.keys = keys;
    this.lastDigest = lastDigest;
    this.blockBytes = blockBytes;
  }

  /**
   * Returns a prefix without blocks.
   *
   * @param identity cache identity that seeds the chain
   * @param blockBytes size of a block in bytes, positive
   */
  public static BlockKeyPrefix empty(CacheIdentity identity, int blockBytes) {
    if (blockBytes <= 0) {
      throw new IllegalArgumentException("blockBytes must be positive, found " + blockBytes);
    }
    return new BlockKeyPrefix(List.of(), seedOf(identity, newDigest()), blockBytes);
  }

  /** Returns one key for each block, in the order of the text. */
  public List<BlockKey> keys() {
    return keys;
  }

  /**
   * Returns the prefix that covers all complete blocks of a text.
   *
   * @param text text in UTF-8 that begins with the blocks of this prefix, which are not hashed
   *     again
   * @throws IllegalArgumentException if the text is shorter than the blocks of this prefix
   */
  public BlockKeyPrefix extend(byte[] text) {
    int blocks = text.length / blockBytes;
    if (blocks < keys.size()) {
      throw new IllegalArgumentException(
          "The text must begin with " + keys.size() + " blocks, found " + blocks);
    }
    MessageDigest digest = newDigest();
    byte[] previous = lastDigest;
    List<BlockKey> extended = new ArrayList<>(blocks);
    extended.addAll(keys);
    for (int block = keys.size(); block < blocks; block++) {
      digest.update(previous);
      digest.update(text, block * blockBytes, blockBytes);
      previous = digest.digest();
      extended.add(toKey(previous));
    }
    return new BlockKeyPrefix(List.copyOf(extended), previous, blockBytes);
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
