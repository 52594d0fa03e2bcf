package org.shallothook.state.log;

import java.util.Optional;

/**
 * What a process knows of the time at which a record was written that it has just learned of.
 *
 * <p>Immutable and thread-safe.
 *
 * @param afterMicros time after which the record was written, on the decision clock in
 *     microseconds; empty if it may be of any age, as the records that a started process finds
 * @param disruptedUntilMicros latest time at which the process had not yet started, did not run or
 *     could not read the store, on the decision clock in microseconds
 */
public record WrittenTime(Optional<Long> afterMicros, long disruptedUntilMicros) {
  /** Returns the time of a record that was written just now. */
  public static WrittenTime at(long nowMicros) {
    return new WrittenTime(Optional.of(nowMicros), Long.MIN_VALUE / 2);
  }
}
