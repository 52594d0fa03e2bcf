package org.shallothook.state.cache;

import java.util.HexFormat;

/**
 * Key of a cached prompt block: 128 bits of a digest over the block and everything before it.
 *
 * <p>Invariant: equal keys mean the same cache identity and the same prompt up to and including the
 * block. Immutable and thread-safe.
 *
 * @param high upper 64 bits
 * @param low lower 64 bits
 */
public record BlockKey(long high, long low) {
  /** Number of hexadecimal digits in {@link #toHex()}. */
  public static final int HEX_DIGITS = 32;

  /** Size of an abbreviated key, in bytes. */
  public static final int ABBREVIATION_BYTES = 3;

  private static final long ABBREVIATION_MASK = 0xFF_FFFFL;

  /**
   * Returns the key reduced to its lowest 24 bits, which offers carry to save bytes.
   *
   * <p>Keys of different blocks can have the same abbreviation, so abbreviations may only be used
   * to estimate times, never to decide what is reused.
   */
  public BlockKey abbreviated() {
    return new BlockKey(0, low & ABBREVIATION_MASK);
  }

  /** Returns whether this is an abbreviated key. */
  public boolean isAbbreviated() {
    return high == 0 && (low & ~ABBREVIATION_MASK) == 0;
  }

  /** Returns the key as 32 lower-case hexadecimal digits. */
  public String toHex() {
    HexFormat format = HexFormat.of();
    return format.toHexDigits(high) + format.toHexDigits(low);
  }

  /**
   * Parses the result of {@link #toHex()}.
   *
   * @throws IllegalArgumentException if the text is not 32 hexadecimal digits
   */
  public static BlockKey fromHex(String text) {
    if (text.length() != HEX_DIGITS) {
      throw new IllegalArgumentException("A block key has 32 hexadecimal digits, found: " + text);
    }
    return new BlockKey(
        HexFormat.fromHexDigitsToLong(text, 0, 16), HexFormat.fromHexDigitsToLong(text, 16, 32));
  }
}
