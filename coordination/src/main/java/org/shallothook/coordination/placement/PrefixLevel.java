package org.shallothook.coordination.placement;

import java.util.List;
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

  /** Returns the level whose home set a prompt belongs to: its deepest shared one. */
  public static PrefixLevel homeOf(List<PrefixLevel> levels) {
    for (PrefixLevel level : levels) {
      if (level.kind() != Kind.CONVERSATION) {
        return level;
      }
    }
    return levels.get(0);
  }

  public PrefixLevel {
    Objects.requireNonNull(kind, "kind");
  }
}
