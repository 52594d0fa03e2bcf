package org.shallothook.coordination.router;

import java.util.List;
import org.shallothook.coordination.membership.Upstream;

/**
 * Snapshot of a router's state, for operators.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name name of the router
 * @param incarnation incarnation of its process
 * @param configurationOffset offset below which it has applied the configuration
 * @param isBehind whether a later offset was reported, or none is known yet
 * @param isDraining whether it accepts no new requests
 * @param openRequests number of open requests
 * @param quarantined number of requests in quarantine
 * @param instanceListVersion version of the instance list last read, or -1
 * @param upstreams every known upstream
 */
public record RouterStatus(
    String name,
    long incarnation,
    long configurationOffset,
    boolean isBehind,
    boolean isDraining,
    int openRequests,
    int quarantined,
    long instanceListVersion,
    List<UpstreamView> upstreams) {
  public RouterStatus {
    upstreams = List.copyOf(upstreams);
  }

  /**
   * State of one upstream as known to the router.
   *
   * <p>Immutable and thread-safe.
   *
   * @param name name of the upstream
   * @param failureDomain its failure domain
   * @param state {@code ready}, {@code unreported}, {@code leaving}, {@code unreachable} or {@code
   *     ejected}
   * @param engineIncarnation incarnation of its engine or service; empty if unknown
   * @param outstanding number of attempts that this router has open on it
   * @param queueDelayMicros last reported queue delay, in microseconds
   * @param ejectedUntilMicros end of its latest ejection, in microseconds since the epoch; 0 if
   *     there was none
   * @param role role of its engine: {@code mixed}, {@code priority} or {@code other}
   */
  public record UpstreamView(
      String name,
      String failureDomain,
      String state,
      String engineIncarnation,
      int outstanding,
      long queueDelayMicros,
      long ejectedUntilMicros,
      String role) {

    static UpstreamView of(Upstream upstream, long nowMicros) {
      return new UpstreamView(
          upstream.name(),
          upstream.failureDomain(),
          stateOf(upstream, nowMicros),
          upstream.engineIncarnation(),
          upstream.outstanding(),
          upstream.queueDelayMicros(),
          upstream.ejectedUntilMicros(),
          upstream.role().code());
    }

    private static String stateOf(Upstream upstream, long nowMicros) {
      if (upstream.isLeaving()) {
        return "leaving";
      }
      if (upstream.isUnreachable(nowMicros)) {
        return "unreachable";
      }
      if (upstream.isEjected(nowMicros)) {
        return "ejected";
      }
      return upstream.hasStatus() ? "ready" : "unreported";
    }
  }
}
