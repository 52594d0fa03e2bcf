package org.shallothook.coordination.message;

/**
 * What a sidecar tells a router about its upstream when it answers an offer.
 *
 * <p>Only the hint of the prompt's home (rendezvous rank 0) states a spread: its spread of 1 says
 * that the prefix is not spread any more. Hints of other ranks carry {@code spreadBlocks} 0 and a
 * spread of 1, which say nothing.
 *
 * <p>Immutable and thread-safe.
 *
 * @param matchedBlocks leading blocks of the offered chain that the engine has cached or is
 *     obtaining
 * @param queueDelayMicros expected time until the request would start, in microseconds
 * @param spread number of rendezvous ranks over which the deepest hot prefix may be spread
 * @param spreadBlocks number of leading blocks that the spread applies to
 */
public record Hint(int matchedBlocks, long queueDelayMicros, int spread, int spreadBlocks) {
  /** Hint of a sidecar that knows nothing of the prompt. */
  public static final Hint NONE = new Hint(0, 0, 1, 0);
}
