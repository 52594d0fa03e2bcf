package org.shallothook.state.configuration;

import java.util.Optional;

/**
 * What one record of the configuration stream led to.
 *
 * <p>Immutable and thread-safe.
 *
 * @param state state above the record
 * @param verdict what the fold made of it
 * @param template template that the record is about; empty where it cannot be read
 * @param change identifier of the change; empty where there is none
 * @param error why it has no effect, for conflicts and faulty records
 */
public record FoldedRecord(
    ConfigurationState state,
    ChangeVerdict verdict,
    String template,
    String change,
    Optional<ConfigurationError> error) {}
