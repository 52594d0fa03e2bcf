package org.shallothook.coordination.placement;

import java.util.List;
import java.util.Objects;

/**
 * A prefix of a prompt that it shares with other prompts.
 *
 * <p>Invariant: every router computes the same hash for all prompts that share the prefix.
 * Immutable and thread-safe.
 *
 * @param kind prompts that share the prefix: those of a conversation, a tenant or a rulebook
 * @param hash hash of the cache identity and the shared prefix
 * @param blocks number of whole blocks of the prompt that the prefix covers
 */
public record PrefixLevel(Kind kind, long hash, int blocks) {

  /** Levels of prefix sharing, deepest first. Immutable and thread-safe. */
  public enum Kind {
    CONVERSATION,
    TENANT,
    RULEBOOK
  }

  /**
   * Returns the level that decides the home set of a prompt: the deepest one above the
   * conversation, or the first level if there is no other.
   */
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
