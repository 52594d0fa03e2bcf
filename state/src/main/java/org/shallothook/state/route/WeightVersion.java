package org.shallothook.state.route;

import java.util.Objects;

/**
 * The desired version of a model's weights, as set by an operator for all servers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model name of the model
 * @param version desired version, at least 1
 */
public record WeightVersion(String model, long version) {
  public WeightVersion {
    Objects.requireNonNull(model, "model");
  }
}
