package org.shallothook.state.cache;

import java.util.Arrays;
import java.util.Optional;

/**
 * A set of block keys in a primitive array, with open addressing and linear probing.
 *
 * <p>The keys are digests, so their own bits serve as hash. The table doubles as keys are added and
 * keeps its size when it is cleared. The all-zero key is held outside the table, in which it marks
 * an empty slot.
 *
 * <p>Invariants: the set never exceeds its maximum number of keys; there is no empty slot between
 * the home slot of a key and the slot that holds it. Not thread-safe.
 */
public final class BlockKeySet {
  private static final int INITIAL_SLOTS = 1_024;
  private static final double MAXIMUM_LOAD_FACTOR = 0.8;

  private final int maximumKeys;
  private long[] slots = new long[2 * INITIAL_SLOTS];
  private int stored;
  private boolean hasZeroKey;

  /**
   * Creates an empty set.
   *
   * @param maximumKeys maximum number of keys, positive
   */
  public BlockKeySet(int maximumKeys) {
    if (maximumKeys <= 0) {
      throw new IllegalArgumentException("maximumKeys must be positive, found " + maximumKeys);
    }
    this.maximumKeys = maximumKeys;
  }

  /** Returns the number of keys. */
  public int size() {
    return stored + (hasZeroKey ? 1 : 0);
  }

  /** Returns the size of the table in bytes. */
  public long tableBytes() {
    return (long) slots.length * Long.BYTES;
  }

  /** Returns whether the key is in the set. */
  public boolean contains(BlockKey key) {
    if (isZero(key)) {
      return hasZeroKey;
    }
    return holdsKeyAt(slotOf(key), key);
  }

  /**
   * Returns a key with the same abbreviation, if there is one.
   *
   * <p>The home slot of a key depends only on bits that its abbreviation has too, so all keys with
   * the abbreviation are probed.
   */
  public Optional<BlockKey> find(BlockKey abbreviation) {
    int slot = homeSlotOf(abbreviation.low());
    while (!isEmpty(slot)) {
      BlockKey found = new BlockKey(slots[2 * slot], slots[2 * slot + 1]);
      if (found.abbreviated().equals(abbreviation)) {
        return Optional.of(found);
      }
      slot = slotAfter(slot);
    }
    return Optional.empty();
  }

  /**
   * Adds a key.
   *
   * @return whether the key is in the set afterwards; false only if the set is full
   */
  public boolean add(BlockKey key) {
    if (contains(key)) {
      return true;
    }
    if (size() >= maximumKeys) {
      return false;
    }
    if (isZero(key)) {
      hasZeroKey = true;
      return true;
    }
    if (stored + 1 > MAXIMUM_LOAD_FACTOR * slotCount()) {
      grow();
    }
    put(slotOf(key), key.high(), key.low());
    stored++;
    return true;
  }

  /**
   * Removes a key.
   *
   * @return whether the key was in the set
   */
  public boolean remove(BlockKey key) {
    if (isZero(key)) {
      boolean had = hasZeroKey;
      hasZeroKey = false;
      return had;
    }
    int slot = slotOf(key);
    if (!holdsKeyAt(slot, key)) {
      return false;
    }
    closeGap(slot);
    stored--;
    return true;
  }

  /** Removes all keys. */
  public void clear() {
    Arrays.fill(slots, 0);
    stored = 0;
    hasZeroKey = false;
  }

  private int slotCount() {
    return slots.length / 2;
  }

  private static boolean isZero(BlockKey key) {
    return (key.high() | key.low()) == 0;
  }

  private boolean isEmpty(int slot) {
    return (slots[2 * slot] | slots[2 * slot + 1]) == 0;
  }

  private boolean holdsKeyAt(int slot, BlockKey key) {
    return slots[2 * slot] == key.high() && slots[2 * slot + 1] == key.low();
  }

  private int homeSlotOf(long low) {
    return (int) low & (slotCount() - 1);
  }

  private int slotAfter(int slot) {
    return (slot + 1) & (slotCount() - 1);
  }

  private int slotOf(BlockKey key) {
    int slot = homeSlotOf(key.low());
    while (!isEmpty(slot) && !holdsKeyAt(slot, key)) {
      slot = slotAfter(slot);
    }
    return slot;
  }

  private void put(int slot, long high, long low) {
    slots[2 * slot] = high;
    slots[2 * slot + 1] = low;
  }

  private void closeGap(int removed) {
    int gap = removed;
    for (int slot = slotAfter(gap); !isEmpty(slot); slot = slotAfter(slot)) {
      long low = slots[2 * slot + 1];
      if (isBetween(homeSlotOf(low), gap, slot)) {
        continue;
      }
      put(gap, slots[2 * slot], low);
      gap = slot;
    }
    put(gap, 0, 0);
  }

  /** Returns whether, in probing order, a home slot is after the gap and not after the slot. */
  private static boolean isBetween(int home, int gap, int slot) {
    return gap <= slot ? gap < home && home <= slot : gap < home || home <= slot;
  }

  private void grow() {
    long[] old = slots;
    slots = new long[2 * old.length];
    for (int index = 0; index < old.length; index += 2) {
      if ((old[index] | old[index + 1]) != 0) {
        reinsert(old[index], old[index + 1]);
      }
    }
  }

  private void reinsert(long high, long low) {
    int slot = homeSlotOf(low);
    while (!isEmpty(slot)) {
      slot = slotAfter(slot);
    }
    put(slot, high, low);
  }
}
