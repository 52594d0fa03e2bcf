package org.shallothook.state.log;

import java.util.Comparator;

/**
 * Version that the value of a record states, such as a version number or the start of its writer.
 *
 * <p>Immutable and thread-safe.
 *
 * @param major first number to compare
 * @param minor number to compare if the first is equal
 */
public record RecordVersion(long major, long minor) implements Comparable<RecordVersion> {
  private static final Comparator<RecordVersion> ORDER =
      Comparator.comparingLong(RecordVersion::major).thenComparingLong(RecordVersion::minor);

  @Override
  public int compareTo(RecordVersion other) {
    return ORDER.compare(this, other);
  }
}
