package org.shallothook.state.route;

import java.util.Objects;

/**
 * The version of a model's weights that an operator wants everywhere.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model name of the model
 * @param version version wanted, from 1 on
 */
public record WeightVersion(String model, long version) {
  public WeightVersion {
    Objects.requireNonNull(model, "model");
  }
}
