package org.shallothook.coordination.configuration;

import java.util.Objects;
import java.util.Optional;

/**
 * What an operator asks to publish.
 *
 * <p>Invariant: the same identifier always means the same change. Immutable and thread-safe.
 *
 * @param change identifier of the change, chosen by the operator or drawn at random for it
 * @param template name of the template, which is the name of its team
 * @param source INI text of the template; empty to remove it
 * @param base offset below which the operator knew the configuration; empty for that of the router
 */
public record ChangeRequest(
    String change, String template, Optional<String> source, Optional<Long> base) {
  public ChangeRequest {
    Objects.requireNonNull(change, "change");
    Objects.requireNonNull(template, "template");
    Objects.requireNonNull(source, "source");
    Objects.requireNonNull(base, "base");
  }
}
