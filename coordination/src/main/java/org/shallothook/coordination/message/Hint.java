package org.shallothook.coordination.message;

/**
 * State of an upstream with respect to one prompt, sent by its sidecar in reply to an offer.
 *
 * <p>Only the prompt's home upstream (rendezvous rank 0) reports a spread; a spread of 1 from the
 * home means that the prefix is no longer spread. Hints of other ranks carry {@code spreadBlocks} 0
 * and a spread of 1, which carry no information.
 *
 * <p>Immutable and thread-safe.
 *
 * @param matchedBlocks leading blocks of the prompt that the engine has cached or is fetching
 * @param queueDelayMicros expected time in the queue before the request starts, in microseconds
 * @param spread number of rendezvous ranks over which the longest hot prefix of the prompt may be
 *     spread
 * @param spreadBlocks number of leading blocks that the spread applies to
 */
public record Hint(int matchedBlocks, long queueDelayMicros, int spread, int spreadBlocks) {
  /** Hint of a sidecar that has no information about the prompt. */
  public static final Hint NONE = new Hint(0, 0, 1, 0);
}
