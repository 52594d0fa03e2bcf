package org.shallothook.coordination.admission;

/**
 * Over how many upstreams a prefix is spread.
 *
 * <p>Immutable and thread-safe.
 *
 * @param ranks number of rendezvous ranks, at least 1
 * @param blocks leading blocks that make up the prefix; 0 where nothing is said
 */
public record PrefixSpread(int ranks, int blocks) {
  /** Says nothing of any prefix. */
  public static final PrefixSpread UNSPECIFIED = new PrefixSpread(1, 0);
}
