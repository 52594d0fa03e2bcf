package org.shallothook.state.cache;

import java.util.Objects;

/**
 * A model, the version of its weights and the adapter applied to them.
 *
 * <p>Two model outputs may be joined into one stream only if their model versions are equal.
 *
 * <p>Invariant: no component is null, model and version are not blank. Immutable and thread-safe.
 *
 * @param model name of the model
 * @param version version of its weights
 * @param adapter name of the adapter; empty if none is applied
 */
public record ModelVersion(String model, String version, String adapter) {
  public ModelVersion {
    Objects.requireNonNull(adapter, "adapter");
    if (model.isBlank() || version.isBlank()) {
      throw new IllegalArgumentException("Model and version must not be blank.");
    }
  }

  /** Returns the version of a model without an adapter. */
  public static ModelVersion of(String model, String version) {
    return new ModelVersion(model, version, "");
  }

  /** Returns a readable form such as {@code linen-8b@3} or {@code linen-8b@3+parish}. */
  @Override
  public String toString() {
    return model + "@" + version + (adapter.isEmpty() ? "" : "+" + adapter);
  }
}
