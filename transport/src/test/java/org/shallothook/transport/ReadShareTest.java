package org.shallothook.transport;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Sizes of the reads of a connection whose bytes take long or short to handle. */
final class ReadShareTest {
  private static final long SHARE = ReadShare.SHARE_NANOS;

  // Guards against a connection that owns the event loop, as its peer always has bytes ready.
  @ParameterizedTest
  @ValueSource(longs = {100, 1_000, 10_000})
  void aReadTakesNoLongerThanAShareSoonAfterTheFirst(long nanosPerByte) {
    int size = ReadShare.MAXIMUM_READ_BYTES;
    for (int read = 0; read < 4; read++) {
      size = ReadShare.nextMaximumBytes(size, size, size * nanosPerByte);
    }
    assertThat((long) size).isAtMost(Math.max(ReadShare.MINIMUM_READ_BYTES, SHARE / nanosPerByte));
    assertThat(size).isAtLeast(ReadShare.MINIMUM_READ_BYTES);
  }

  // Guards against large bodies that are read in small parts, though they take little time.
  @ParameterizedTest
  @CsvSource({"512, 10", "8192, 10", "512, 2"})
  void bytesThatAreHandledQuicklyAreReadInLargeParts(int first, long nanosPerByte) {
    int size = first;
    for (int read = 0; read < 10; read++) {
      size = ReadShare.nextMaximumBytes(size, size, size * nanosPerByte);
    }
    assertThat(size * nanosPerByte).isAtMost(SHARE);
    assertThat(size)
        .isAtLeast(Math.min(ReadShare.MAXIMUM_READ_BYTES, (int) (SHARE / 8 / nanosPerByte)));
  }

  // Guards against a read that was interrupted once and makes a connection slow for good.
  @ParameterizedTest
  @ValueSource(longs = {2, 80, 5_000})
  void aConnectionRecoversFromALongPause(long pauseMillis) {
    int size = ReadShare.nextMaximumBytes(8_192, 300, pauseMillis * 1_000_000);
    assertThat(size).isAtLeast(ReadShare.MINIMUM_READ_BYTES);
    for (int read = 0; read < 8; read++) {
      size = ReadShare.nextMaximumBytes(size, size, size);
    }
    assertThat(size).isEqualTo(ReadShare.MAXIMUM_READ_BYTES);
  }
}
