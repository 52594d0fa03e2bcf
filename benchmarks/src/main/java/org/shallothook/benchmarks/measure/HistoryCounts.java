package org.shallothook.benchmarks.measure;

/**
 * How many seeded histories are run under each deployment.
 *
 * <p>Invariant: both numbers are positive. Immutable and thread-safe.
 *
 * @param bookings histories of bookings
 * @param configurations histories of configuration changes
 */
public record HistoryCounts(int bookings, int configurations) {
  /** Numbers that CI runs. */
  public static final HistoryCounts DEFAULT = new HistoryCounts(100, 50);

  public HistoryCounts {
    if (bookings <= 0 || configurations <= 0) {
      throw new IllegalArgumentException("Give a positive number of histories.");
    }
  }
}
