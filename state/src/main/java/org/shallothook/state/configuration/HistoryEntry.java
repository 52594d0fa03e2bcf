package org.shallothook.state.configuration;

/**
 * One record of the configuration stream as operators see it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param offset offset of the record
 * @param appendedAtMicros when the log took it, in microseconds since the epoch
 * @param verdict what the fold made of it
 * @param template template that it is about; empty where it cannot be read
 * @param change identifier of the change; empty where there is none
 * @param detail why it has no effect; empty where it has one
 */
public record HistoryEntry(
    long offset,
    long appendedAtMicros,
    ChangeVerdict verdict,
    String template,
    String change,
    String detail) {}
