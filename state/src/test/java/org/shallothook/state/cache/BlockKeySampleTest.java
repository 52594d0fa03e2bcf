package org.shallothook.state.cache;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A sample of a chain's keys tells how much of the chain is cached, less three blocks at most. */
final class BlockKeySampleTest {
  private static final int STEP = 4;
  private static final int LAST = 6;

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 5, 9, 28, 30, 49, 50, 64, 200})
  void cachedBlocksAreNeverOverstatedAndHardlyUnderstated(int blocks) {
    List<BlockKey> chain = chain(blocks);
    List<BlockKey> expanded = BlockKeySample.expand(BlockKeySample.of(chain), blocks);

    assertThat(expanded).hasSize(blocks);
    for (int cached = 0; cached <= blocks; cached++) {
      int matched = matched(expanded, chain.subList(0, cached));
      assertThat(matched).isAtMost(cached);
      assertThat(matched).isGreaterThan(cached - STEP);
      if (cached > blocks - LAST) {
        assertThat(matched).isEqualTo(cached);
      }
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {9, 50, 200})
  void wholeChainOfAnOlderSenderStaysAsItIs(int blocks) {
    assertThat(BlockKeySample.expand(chain(blocks), blocks)).isEqualTo(chain(blocks));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 18, 20, Integer.MAX_VALUE})
  void keysThatAreNoSampleStayAsTheyAre(int blocks) {
    List<BlockKey> sent = chain(3);

    assertThat(BlockKeySample.expand(sent, blocks)).isEqualTo(sent);
  }

  @ParameterizedTest
  @ValueSource(ints = {50, 64})
  void longChainIsSentWithLessThanHalfOfItsKeys(int blocks) {
    assertThat(BlockKeySample.of(chain(blocks)).size()).isLessThan(blocks / 2);
  }

  private static int matched(List<BlockKey> expanded, List<BlockKey> cached) {
    return (int) expanded.stream().takeWhile(cached::contains).count();
  }

  private static List<BlockKey> chain(int blocks) {
    return LongStream.rangeClosed(1, blocks).mapToObj(low -> new BlockKey(1, low)).toList();
  }
}
