package org.shallothook.state.route;

import java.util.List;
import java.util.Objects;

/**
 * A prompt as its caller describes it: cacheable parts in order, without their text.
 *
 * <p>Invariant: has at least one part. Immutable and thread-safe.
 *
 * @param model name of the model
 * @param promptTokens tokens of the whole prompt
 * @param outputTokens greatest number of tokens to generate
 * @param parts parts in order; the last belongs to the request or its session
 */
public record PromptOutline(String model, int promptTokens, int outputTokens, List<Part> parts) {

  /** One part. Immutable and thread-safe. */
  public record Part(String id, int tokens) {}

  public PromptOutline {
    Objects.requireNonNull(model, "model");
    parts = List.copyOf(parts);
    if (parts.isEmpty()) {
      throw new IllegalArgumentException("A prompt has at least one part.");
    }
  }
}
