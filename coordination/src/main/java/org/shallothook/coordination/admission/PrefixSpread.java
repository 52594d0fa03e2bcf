package org.shallothook.coordination.admission;

/**
 * Number of upstreams over which a prefix is spread.
 *
 * <p>Immutable and thread-safe.
 *
 * @param ranks number of rendezvous ranks, at least 1
 * @param blocks number of leading blocks of the prefix; 0 if unspecified
 */
public record PrefixSpread(int ranks, int blocks) {
  /** No spread is specified for any prefix. */
  public static final PrefixSpread UNSPECIFIED = new PrefixSpread(1, 0);
}
