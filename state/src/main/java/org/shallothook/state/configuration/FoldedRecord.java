package org.shallothook.state.configuration;

import java.util.Optional;

/**
 * Result of folding a record of the configuration stream.
 *
 * <p>Immutable and thread-safe.
 *
 * @param state state after the record
 * @param verdict effect of the record
 * @param template template that the record concerns; empty if there is none or the record cannot be
 *     read
 * @param change identifier of the change; empty if there is none
 * @param error why the record has no effect; empty unless it is invalid or a conflict
 */
public record FoldedRecord(
    ConfigurationState state,
    ChangeVerdict verdict,
    String template,
    String change,
    Optional<ConfigurationError> error) {}
