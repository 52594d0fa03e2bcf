package org.shallothook.state.cache;

import java.util.Objects;

/**
 * A model together with the version of its weights and the adapter applied to them.
 *
 * <p>Two answers may be joined into one stream only when their model versions are equal. The
 * adapter is the empty string where none is applied.
 *
 * <p>Invariant: no component is null, model and version are not blank. Immutable and thread-safe.
 *
 * @param model name of the model
 * @param version version of its weights
 * @param adapter name of the adapter, or the empty string
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

  /** Returns the form that people read, such as {@code linen-8b@3} or {@code linen-8b@3+parish}. */
  @Override
  public String toString() {
    return model + "@" + version + (adapter.isEmpty() ? "" : "+" + adapter);
  }
}
