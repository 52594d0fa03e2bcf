package org.shallothook.benchmarks.virtual;

/**
 * One-way latencies of a deployment, in microseconds.
 *
 * <p>Immutable and thread-safe.
 *
 * @param withinDomain between processes of one failure domain
 * @param betweenDomains between processes of different failure domains
 * @param toCaller between a router and a caller
 * @param toUpstream between a sidecar and its upstream
 * @param toPlatform between a process and the platform
 * @param jitterShare greatest addition to each latency, as a share of it
 */
public record Latencies(
    long withinDomain,
    long betweenDomains,
    long toCaller,
    long toUpstream,
    long toPlatform,
    double jitterShare) {
  /** Failure domains a couple of milliseconds apart. */
  public static final Latencies RO_CENTRAL = new Latencies(200, 2_000, 3_000, 100, 2_000, 0.2);

  /** Failure domains well under a millisecond apart. */
  public static final Latencies MELLANSVERIGE = new Latencies(200, 500, 3_000, 100, 1_000, 0.2);
}
