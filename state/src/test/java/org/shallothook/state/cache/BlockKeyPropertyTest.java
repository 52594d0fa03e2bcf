package org.shallothook.state.cache;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

final class BlockKeyPropertyTest {
  private static final int BLOCK = 8;

  @Property(seed = "92", tries = 1_000)
  void promptsShareKeysExactlyUpToTheFirstDifferentBlock(
      @ForAll @Size(min = 1, max = 80) byte[] prompt, @ForAll int place, @ForAll byte value) {
    byte[] other = prompt.clone();
    int changed = Math.floorMod(place, prompt.length);
    other[changed] = value;
    CacheIdentity identity = new CacheIdentity("team", ModelVersion.of("m", "1"));
    List<BlockKey> keys = BlockKeyChain.keysOf(identity, prompt, BLOCK);
    List<BlockKey> others = BlockKeyChain.keysOf(identity, other, BLOCK);
    boolean isSame = prompt[changed] == value;

    assertThat(keys).hasSize(prompt.length / BLOCK);
    for (int block = 0; block < keys.size(); block++) {
      boolean isShared = isSame || block < changed / BLOCK;
      assertThat(keys.get(block).equals(others.get(block))).isEqualTo(isShared);
    }
  }

  @Property(seed = "93", tries = 1_000)
  void differentIdentitiesShareNoKeys(
      @ForAll("identities") CacheIdentity one, @ForAll("identities") CacheIdentity other) {
    byte[] prompt = new byte[3 * BLOCK];
    List<BlockKey> keys = BlockKeyChain.keysOf(one, prompt, BLOCK);

    if (one.equals(other)) {
      assertThat(BlockKeyChain.keysOf(other, prompt, BLOCK)).isEqualTo(keys);
    } else {
      assertThat(keys).containsNoneIn(BlockKeyChain.keysOf(other, prompt, BLOCK));
    }
  }

  @Property(seed = "94", tries = 1_000)
  void keyRoundTripsThroughHex(@ForAll long high, @ForAll long low) {
    BlockKey key = new BlockKey(high, low);

    assertThat(key.toHex()).hasLength(BlockKey.HEX_DIGITS);
    assertThat(BlockKey.fromHex(key.toHex())).isEqualTo(key);
  }

  /** Returns identities of short names that are ambiguous if concatenated without their lengths. */
  @Provide
  Arbitrary<CacheIdentity> identities() {
    Arbitrary<String> names = Arbitraries.of("a", "b", "ab", "ba", "aa");
    return Combinators.combine(names, names, names)
        .as((team, model, version) -> new CacheIdentity(team, ModelVersion.of(model, version)));
  }

  @Property(seed = "95", tries = 500)
  void longerPromptsBeginWithTheKeysOfShorterOnes(
      @ForAll @Size(max = 80) byte[] prompt, @ForAll @IntRange(max = 80) int length) {
    CacheIdentity identity = new CacheIdentity("team", ModelVersion.of("m", "1"));
    byte[] start = Arrays.copyOf(prompt, Math.min(length, prompt.length));
    List<BlockKey> keys = BlockKeyChain.keysOf(identity, start, BLOCK);

    assertThat(BlockKeyChain.keysOf(identity, prompt, BLOCK).subList(0, keys.size()))
        .isEqualTo(keys);
  }
}
