package org.shallothook.coordination.weights;

/**
 * Makes fencing tokens of the positions of records that processes append to a stream of the store.
 *
 * <p>A store that is restored from a copy gives offsets out again, so the era comes first: a token
 * of a later era is greater than all of earlier ones.
 *
 * <p>Stateless and thread-safe.
 */
public final class FencingTokens {
  /** Offsets per era. Tokens of the first million eras are exact in any number of JSON. */
  private static final long OFFSETS_PER_ERA = 1L << 32;

  private FencingTokens() {}

  /**
   * Returns the token of a record.
   *
   * @param era era of the store in which the record was appended; 0 if the store states none
   * @param offset offset of the record in that era
   * @throws IllegalArgumentException if the offset is negative or too large to be ordered
   */
  public static long of(long era, long offset) {
    if (offset < 0 || offset >= OFFSETS_PER_ERA - 1) {
      throw new IllegalArgumentException("Not an offset of fencing tokens: " + offset);
    }
    return Math.addExact(Math.multiplyExact(era, OFFSETS_PER_ERA), offset + 1);
  }
}
