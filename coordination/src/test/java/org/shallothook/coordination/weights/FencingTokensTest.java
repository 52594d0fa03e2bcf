package org.shallothook.coordination.weights;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Covers the order of fencing tokens over restores of the store. */
final class FencingTokensTest {
  private static final long GREATEST_EXACT_INTEGER = 1L << 53;

  // Guards against two holders with one token, or a lower one after a higher one, where a restored
  // store gives out offsets again.
  @ParameterizedTest
  @CsvSource({"1, 40, 2, 0", "1, 40, 2, 40", "1, 7, 1, 8", "0, 3, 1, 0", "2, 4000000, 3, 1"})
  void aTokenAcquiredLaterIsGreater(long era, long offset, long laterEra, long laterOffset) {
    assertThat(FencingTokens.of(laterEra, laterOffset))
        .isGreaterThan(FencingTokens.of(era, offset));
  }

  @ParameterizedTest
  @CsvSource({"0, 0", "1, 0", "1000000, 4294967294"})
  void tokensArePositiveAndExactInJson(long era, long offset) {
    assertThat(FencingTokens.of(era, offset)).isGreaterThan(0L);
    assertThat(FencingTokens.of(era, offset)).isLessThan(GREATEST_EXACT_INTEGER);
  }

  @ParameterizedTest
  @ValueSource(longs = {-1, 4294967295L, 4294967296L, Long.MAX_VALUE})
  void anOffsetThatCannotBeOrderedIsRejected(long offset) {
    Assertions.assertThrows(IllegalArgumentException.class, () -> FencingTokens.of(1, offset));
  }
}
