package org.shallothook.state.configuration;

/**
 * Summary of a record of the configuration stream for operators.
 *
 * <p>Immutable and thread-safe.
 *
 * @param offset offset of the record
 * @param appendedAtMicros when the log appended the record, in microseconds since the epoch
 * @param verdict effect of the record
 * @param template template that the record concerns; empty if there is none or the record cannot be
 *     read
 * @param change identifier of the change; empty if there is none
 * @param detail why the record has no effect; empty unless it is invalid or a conflict
 */
public record HistoryEntry(
    long offset,
    long appendedAtMicros,
    ChangeVerdict verdict,
    String template,
    String change,
    String detail) {}
