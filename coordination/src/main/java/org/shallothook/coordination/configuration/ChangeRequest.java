package org.shallothook.coordination.configuration;

import java.util.Objects;
import java.util.Optional;

/**
 * A change of one template that an operator publishes.
 *
 * <p>Invariant: requests with the same identifier describe the same change. Immutable and
 * thread-safe.
 *
 * @param change identifier of the change, chosen by the operator or generated at random
 * @param template name of the template, which is the name of its team
 * @param source INI text of the template; empty to remove it
 * @param base offset of the configuration that the change is based on; empty for the offset of the
 *     router that publishes it
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
