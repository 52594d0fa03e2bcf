package org.shallothook.state.route;

import java.util.List;
import java.util.Objects;

/**
 * A caller's description of a prompt: its cacheable parts in order, without their text.
 *
 * <p>Invariant: has at least one part. Immutable and thread-safe.
 *
 * @param model name of the model
 * @param promptTokens number of tokens of the whole prompt
 * @param outputTokens maximum number of tokens to generate
 * @param parts parts in order; the last one is specific to the request or its session
 */
public record PromptOutline(String model, int promptTokens, int outputTokens, List<Part> parts) {

  /**
   * A part of a prompt. Immutable and thread-safe.
   *
   * @param id identifier of the part
   * @param tokens number of tokens of the part
   */
  public record Part(String id, int tokens) {}

  public PromptOutline {
    Objects.requireNonNull(model, "model");
    parts = List.copyOf(parts);
    if (parts.isEmpty()) {
      throw new IllegalArgumentException("A prompt needs at least one part.");
    }
  }

  /** Returns the parts that other prompts may have: all but the last. */
  public List<Part> sharedParts() {
    return parts.subList(0, parts.size() - 1);
  }
}
