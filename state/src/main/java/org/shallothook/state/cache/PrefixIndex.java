package org.shallothook.state.cache;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The blocks that one incarnation of an engine has cached, as known from its reported changes.
 *
 * <p>The index follows one incarnation at a time. Changes are applied only in sequence. After a gap
 * the index stays unchanged until a full listing of the cached blocks replaces its content.
 *
 * <pre>{@code
 * index.follow("e-1");
 * index.replace("e-1", 17, listedKeys);
 * index.apply("e-1", 17, key, true);
 * int blocks = index.matchedBlocks(chain);
 * }</pre>
 *
 * <p>Invariants: every key was reported by the followed incarnation; the index is empty while it
 * follows none. Not thread-safe.
 */
public final class PrefixIndex {

  /** Result of applying a change. */
  public enum ChangeResult {
    /** The change was applied. */
    TAKEN,
    /** The change had been applied before. */
    REPEATED,
    /** Earlier changes are missing, so a full listing is needed. */
    GAP,
    /** The change comes from an incarnation that the index does not follow. */
    OTHER_INCARNATION,
    /** The index is full. The block is omitted, which only understates what is cached. */
    FULL
  }

  private final BlockKeySet keys;
  private Optional<String> incarnation = Optional.empty();
  private long nextSequence;
  private boolean isSynchronised;

  /**
   * Creates an index that follows no engine.
   *
   * @param maximumBlocks maximum number of blocks in the index, positive
   */
  public PrefixIndex(int maximumBlocks) {
    keys = new BlockKeySet(maximumBlocks);
  }

  /** Returns the followed incarnation, if any. */
  public Optional<String> incarnation() {
    return incarnation;
  }

  /** Returns the sequence number of the next change to apply. */
  public long nextSequence() {
    return nextSequence;
  }

  /** Returns whether the index was listed and no later change is known to be missing. */
  public boolean isSynchronised() {
    return isSynchronised;
  }

  /** Returns the number of blocks in the index. */
  public int size() {
    return keys.size();
  }

  /** Returns the size of the table in bytes. */
  public long tableBytes() {
    return keys.tableBytes();
  }

  /** Returns whether a block is in the index. */
  public boolean contains(BlockKey key) {
    return keys.contains(key);
  }

  /** Returns the key of a block in the index that has an abbreviation, if there is one. */
  public Optional<BlockKey> find(BlockKey abbreviation) {
    return keys.find(abbreviation);
  }

  /**
   * Returns the number of consecutive blocks, from the first one of the chain, that are in the
   * index.
   */
  public int matchedBlocks(List<BlockKey> chain) {
    int matched = 0;
    while (matched < chain.size() && keys.contains(chain.get(matched))) {
      matched++;
    }
    return matched;
  }

  /**
   * Starts to follow an incarnation, unless it is followed already.
   *
   * @return number of blocks of the previous incarnation that were dropped
   */
  public int follow(String newIncarnation) {
    Objects.requireNonNull(newIncarnation, "newIncarnation");
    if (isFollowing(newIncarnation)) {
      return 0;
    }
    int dropped = drop();
    incarnation = Optional.of(newIncarnation);
    return dropped;
  }

  /**
   * Drops all blocks and stops following an engine.
   *
   * @return number of blocks dropped
   */
  public int drop() {
    int dropped = keys.size();
    keys.clear();
    incarnation = Optional.empty();
    nextSequence = 0;
    isSynchronised = false;
    return dropped;
  }

  /** Records that changes may be missing, so that a full listing is needed. */
  public void markGap() {
    isSynchronised = false;
  }

  /**
   * Applies one change.
   *
   * @param ofIncarnation incarnation that reported it
   * @param sequence sequence number of the change
   * @param key key of the block
   * @param isStored true if the block was stored, false if it was evicted
   */
  public ChangeResult apply(String ofIncarnation, long sequence, BlockKey key, boolean isStored) {
    if (!isFollowing(ofIncarnation)) {
      return ChangeResult.OTHER_INCARNATION;
    }
    if (sequence < nextSequence) {
      return ChangeResult.REPEATED;
    }
    if (!isSynchronised || sequence > nextSequence) {
      isSynchronised = false;
      return ChangeResult.GAP;
    }
    nextSequence++;
    if (isStored) {
      return keys.add(key) ? ChangeResult.TAKEN : ChangeResult.FULL;
    }
    keys.remove(key);
    return ChangeResult.TAKEN;
  }

  /**
   * Replaces all blocks with those of a full listing.
   *
   * @param ofIncarnation incarnation that made the listing
   * @param sequence sequence number of the first change that the listing does not include
   * @param listed keys of all cached blocks
   * @return number of blocks that were in the index and are not listed; 0, without any effect, if
   *     the listing comes from another incarnation or is older than the index
   */
  public int replace(String ofIncarnation, long sequence, List<BlockKey> listed) {
    if (!isFollowing(ofIncarnation) || sequence < nextSequence) {
      return 0;
    }
    int before = keys.size();
    int kept = 0;
    for (BlockKey key : listed) {
      kept += keys.remove(key) ? 1 : 0;
    }
    keys.clear();
    listed.forEach(keys::add);
    nextSequence = sequence;
    isSynchronised = true;
    return before - kept;
  }

  private boolean isFollowing(String other) {
    return incarnation.isPresent() && incarnation.get().equals(other);
  }
}
