package org.shallothook.state.cache;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * What one incarnation of an engine has cached, as far as its events have told.
 *
 * <p>The index follows one incarnation at a time. Changes are taken only in sequence; after a gap
 * the index stays as it was and wants a listing, which replaces it whole.
 *
 * <pre>{@code
 * index.follow("e-1");
 * index.replace("e-1", 17, listedKeys);
 * index.apply("e-1", 17, key, true);
 * int blocks = index.matchedBlocks(chain);
 * }</pre>
 *
 * <p>Invariants: every key was reported by the followed incarnation; nothing is held while none is
 * followed. Not thread-safe.
 */
public final class PrefixIndex {

  /** How a change was taken. */
  public enum Applied {
    /** The change is in the index. */
    TAKEN,
    /** The change was known already. */
    REPEATED,
    /** Earlier changes are missing, so a listing is needed. */
    GAP,
    /** The change is of an incarnation that the index does not follow. */
    OTHER_INCARNATION,
    /** The index is full; the block is left out, which only understates the cache. */
    FULL
  }

  private final BlockKeySet keys;
  private Optional<String> incarnation = Optional.empty();
  private long nextSequence;
  private boolean isSynchronised;

  /**
   * Creates an index that follows no engine.
   *
   * @param maximumBlocks greatest number of blocks held, positive
   */
  public PrefixIndex(int maximumBlocks) {
    keys = new BlockKeySet(maximumBlocks);
  }

  /** Returns the incarnation followed, if any. */
  public Optional<String> incarnation() {
    return incarnation;
  }

  /** Returns the sequence number of the next change wanted. */
  public long nextSequence() {
    return nextSequence;
  }

  /** Returns whether no change is known to be missing. */
  public boolean isSynchronised() {
    return isSynchronised;
  }

  /** Returns the number of blocks held. */
  public int size() {
    return keys.size();
  }

  /** Returns the bytes of the table. */
  public long tableBytes() {
    return keys.tableBytes();
  }

  /** Returns whether a block is held. */
  public boolean contains(BlockKey key) {
    return keys.contains(key);
  }

  /** Returns a held block whose key has the abbreviation, if there is one. */
  public Optional<BlockKey> find(BlockKey abbreviation) {
    return keys.find(abbreviation);
  }

  /** Returns the number of leading blocks of the chain that are held without a hole. */
  public int matchedBlocks(List<BlockKey> chain) {
    int matched = 0;
    while (matched < chain.size() && keys.contains(chain.get(matched))) {
      matched++;
    }
    return matched;
  }

  /**
   * Follows an incarnation from now on, unless it is followed already.
   *
   * @return number of blocks of the earlier incarnation that were dropped
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
   * Drops all blocks and follows no engine.
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

  /** Notes that changes may be missing, so that a listing is needed. */
  public void markGap() {
    isSynchronised = false;
  }

  /**
   * Takes one change.
   *
   * @param ofIncarnation incarnation that reported it
   * @param sequence sequence number of the change
   * @param key key of the block
   * @param isStored whether the block was stored; otherwise it was evicted
   */
  public Applied apply(String ofIncarnation, long sequence, BlockKey key, boolean isStored) {
    if (!isFollowing(ofIncarnation)) {
      return Applied.OTHER_INCARNATION;
    }
    if (sequence < nextSequence) {
      return Applied.REPEATED;
    }
    if (!isSynchronised || sequence > nextSequence) {
      isSynchronised = false;
      return Applied.GAP;
    }
    nextSequence++;
    if (isStored) {
      return keys.add(key) ? Applied.TAKEN : Applied.FULL;
    }
    keys.remove(key);
    return Applied.TAKEN;
  }

  /**
   * Replaces all blocks by a listing.
   *
   * @param ofIncarnation incarnation that made the listing
   * @param sequence sequence number of the first change that is not in the listing
   * @param listed keys of all cached blocks
   * @return number of blocks that were held and are not listed; 0 and no effect where the listing
   *     is of another incarnation or older than the index
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
