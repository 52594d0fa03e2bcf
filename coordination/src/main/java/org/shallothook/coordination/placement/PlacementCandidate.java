package org.shallothook.coordination.placement;

/**
 * An upstream with the properties that placement policies use.
 *
 * <p>Invariant: name, hash and failure domain never change. Not thread-safe: only the decision
 * thread reads it.
 */
public interface PlacementCandidate {
  /** Returns the name of the upstream. */
  String name();

  /** Returns the hash of the name, computed by {@link RendezvousHash#hashOf(String)}. */
  long hash();

  /** Returns the failure domain of the upstream. */
  String failureDomain();

  /** Returns the number of requests that this router has open at the upstream. */
  int outstanding();

  /** Returns the queue delay of the last report, in microseconds; it may be out of date. */
  long queueDelayMicros();
}
