package org.shallothook.coordination.placement;

import java.util.Objects;

/**
 * One level of sharing that a prompt belongs to.
 *
 * <p>Invariant: prompts that share the level have equal hashes for it in every router. Immutable
 * and thread-safe.
 *
 * @param kind which level it is
 * @param hash hash of the cache identity and the shared opening
 * @param blocks whole blocks of the prompt that the level covers
 */
public record PrefixLevel(Kind kind, long hash, int blocks) {

  /** Levels of sharing, deepest first. Immutable and thread-safe. */
  public enum Kind {
    CONVERSATION,
    TENANT,
    RULEBOOK
  }

  public PrefixLevel {
    Objects.requireNonNull(kind, "kind");
  }
}
