package org.shallothook.state.cache;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Matching an expanded sample understates the cached blocks of a chain by at most three. */
final class BlockKeySampleTest {
  private static final int STRIDE = 4;
  private static final int LAST_KEYS = 6;

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 5, 9, 28, 30, 49, 50, 64, 200})
  void expandedSampleNeverOverstatesCachedBlocksAndUnderstatesByLessThanAStride(int blocks) {
    List<BlockKey> chain = chain(blocks);
    List<BlockKey> expanded = BlockKeySample.expand(BlockKeySample.of(chain), blocks);

    assertThat(expanded).hasSize(blocks);
    for (int cached = 0; cached <= blocks; cached++) {
      int matched = matched(expanded, chain.subList(0, cached));
      assertThat(matched).isAtMost(cached);
      assertThat(matched).isGreaterThan(cached - STRIDE);
      if (cached > blocks - LAST_KEYS) {
        assertThat(matched).isEqualTo(cached);
      }
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {9, 50, 200})
  void wholeChainFromAnOlderSenderIsReturnedUnchanged(int blocks) {
    assertThat(BlockKeySample.expand(chain(blocks), blocks)).isEqualTo(chain(blocks));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 18, 20, Integer.MAX_VALUE})
  void keysThatDoNotMatchTheBlockCountAreReturnedUnchanged(int blocks) {
    List<BlockKey> sent = chain(3);

    assertThat(BlockKeySample.expand(sent, blocks)).isEqualTo(sent);
  }

  @ParameterizedTest
  @ValueSource(ints = {50, 64})
  void sampleOfALongChainHasFewerThanHalfOfItsKeys(int blocks) {
    assertThat(BlockKeySample.of(chain(blocks)).size()).isLessThan(blocks / 2);
  }

  private static int matched(List<BlockKey> expanded, List<BlockKey> cached) {
    return (int) expanded.stream().takeWhile(cached::contains).count();
  }

  private static List<BlockKey> chain(int blocks) {
    return LongStream.rangeClosed(1, blocks).mapToObj(low -> new BlockKey(1, low)).toList();
  }
}
