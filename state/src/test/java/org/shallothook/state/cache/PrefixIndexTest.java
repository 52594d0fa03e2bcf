package org.shallothook.state.cache;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class PrefixIndexTest {
  private static final BlockKey KEY = new BlockKey(1, 1);

  @Property(seed = "41", tries = 300)
  void blockKeySetAgreesWithHashSet(
      @ForAll @Size(max = 400) List<@IntRange(min = 0, max = 255) Integer> ops) {
    BlockKeySet keys = new BlockKeySet(100);
    Set<BlockKey> model = new HashSet<>();
    for (int operation : ops) {
      BlockKey key = collidingKey(operation / 2);
      if (operation % 2 == 0) {
        boolean isHeld = keys.add(key);
        assertThat(isHeld).isEqualTo(model.contains(key) || model.size() < 100);
        if (isHeld) {
          model.add(key);
        }
      } else {
        assertThat(keys.remove(key)).isEqualTo(model.remove(key));
      }
      assertThat(keys.size()).isEqualTo(model.size());
    }
    for (int number = 0; number < 128; number++) {
      assertThat(keys.contains(collidingKey(number)))
          .isEqualTo(model.contains(collidingKey(number)));
    }
  }

  @Test
  void holdsHundredThousandBlocksInAtMostFourMebibytes() {
    PrefixIndex index = new PrefixIndex(100_000);
    index.follow("e-1");
    List<BlockKey> keys = new ArrayList<>();
    for (int number = 0; number < 100_000; number++) {
      keys.add(new BlockKey(number, number * 0x9E3779B97F4A7C15L));
    }
    index.replace("e-1", 0, keys);

    assertThat(index.size()).isEqualTo(100_000);
    assertThat(index.tableBytes()).isAtMost(4L << 20);
    assertThat(index.matchedBlocks(keys.subList(0, 64))).isEqualTo(64);
    assertThat(index.apply("e-1", 0, new BlockKey(7, 7), true))
        .isEqualTo(PrefixIndex.ChangeResult.FULL);
  }

  @ParameterizedTest
  @CsvSource({
    "e-1, 5, TAKEN, true",
    "e-1, 4, REPEATED, false",
    "e-1, 6, GAP, false",
    "e-0, 5, OTHER_INCARNATION, false",
    "e-2, 5, OTHER_INCARNATION, false"
  })
  void appliesOnlyTheNextChangeOfTheFollowedIncarnation(
      String incarnation, long sequence, PrefixIndex.ChangeResult applied, boolean isHeld) {
    PrefixIndex index = new PrefixIndex(10);
    index.follow("e-1");
    index.replace("e-1", 5, List.of());

    assertThat(index.apply(incarnation, sequence, KEY, true)).isEqualTo(applied);
    assertThat(index.contains(KEY)).isEqualTo(isHeld);
  }

  @Test
  void appliesNoChangeBetweenGapAndListing() {
    PrefixIndex index = new PrefixIndex(10);
    index.follow("e-1");
    index.replace("e-1", 5, List.of(KEY));
    index.apply("e-1", 8, new BlockKey(2, 2), true);

    assertThat(index.apply("e-1", 5, KEY, false)).isEqualTo(PrefixIndex.ChangeResult.GAP);
    assertThat(index.replace("e-1", 9, List.of(new BlockKey(2, 2)))).isEqualTo(1);
    assertThat(index.isSynchronised()).isTrue();
    assertThat(index.contains(KEY)).isFalse();
  }

  @Test
  void olderListingDoesNotUndoChanges() {
    PrefixIndex index = new PrefixIndex(10);
    index.follow("e-1");
    index.replace("e-1", 5, List.of(KEY));
    index.apply("e-1", 5, KEY, false);

    index.replace("e-1", 5, List.of(KEY));

    assertThat(index.contains(KEY)).isFalse();
  }

  @Test
  void newIncarnationDropsEveryBlock() {
    PrefixIndex index = new PrefixIndex(10);
    index.follow("e-1");
    index.replace("e-1", 5, List.of(KEY));

    assertThat(index.follow("e-2")).isEqualTo(1);
    assertThat(index.matchedBlocks(List.of(KEY))).isEqualTo(0);
    assertThat(index.replace("e-1", 9, List.of(KEY))).isEqualTo(0);
    assertThat(index.size()).isEqualTo(0);
  }

  /** Returns a key; many of the keys share a home slot, and number 0 gives the all-zero key. */
  private static BlockKey collidingKey(int number) {
    return new BlockKey(number / 4, (number % 4) * 1_024L - number % 2);
  }
}
