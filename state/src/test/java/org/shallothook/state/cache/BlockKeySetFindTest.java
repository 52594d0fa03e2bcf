package org.shallothook.state.cache;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Keys are found by their abbreviations after the table has grown and keys have been removed. */
final class BlockKeySetFindTest {
  private static final int KEYS = 3_000;
  private static final int HOME_SLOTS = 64;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void everyHeldKeyIsFoundAndNoRemovedOne(long seed) {
    Random random = new Random(seed);
    BlockKeySet set = new BlockKeySet(2 * KEYS);
    List<BlockKey> held = new ArrayList<>();
    List<BlockKey> removed = new ArrayList<>();
    Set<BlockKey> abbreviations = new HashSet<>();
    for (int index = 0; index < KEYS; index++) {
      // Uses few home slots so that keys collide.
      long low = random.nextLong() << 6 | random.nextInt(HOME_SLOTS);
      BlockKey key = new BlockKey(random.nextLong(), low);
      if (!abbreviations.add(key.abbreviated())) {
        continue;
      }
      set.add(key);
      (index % 3 == 0 ? removed : held).add(key);
    }
    removed.forEach(set::remove);

    for (BlockKey key : held) {
      assertThat(set.find(key.abbreviated())).hasValue(key);
    }
    for (BlockKey key : removed) {
      assertThat(set.find(key.abbreviated())).isEmpty();
    }
  }

  @Test
  void abbreviationSharedByTwoKeysFindsTheRemainingOne() {
    BlockKeySet set = new BlockKeySet(4);
    set.add(new BlockKey(1, 0x1_0000_0007L));
    set.add(new BlockKey(2, 0x2_0000_0007L));
    set.remove(new BlockKey(1, 0x1_0000_0007L));

    assertThat(set.find(new BlockKey(0, 7))).hasValue(new BlockKey(2, 0x2_0000_0007L));
  }
}
