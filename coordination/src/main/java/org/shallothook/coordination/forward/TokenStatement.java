package org.shallothook.coordination.forward;

import java.util.Optional;

/**
 * What a request states about its tokens, prompt and greatest output together.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind whether token counts are stated
 * @param tokens their sum; 0 unless they are stated
 */
public record TokenStatement(Kind kind, long tokens) {
  /** The statement of a request without token counts. */
  public static final TokenStatement NONE = new TokenStatement(Kind.NONE, 0);

  /** The statement of a request whose token counts are no pair of whole numbers. */
  public static final TokenStatement UNREADABLE = new TokenStatement(Kind.UNREADABLE, 0);

  /** Kind of a statement. */
  public enum Kind {
    NONE,
    STATED,
    UNREADABLE
  }

  /** Returns a statement of token counts, which must not be negative. */
  public static TokenStatement of(long promptTokens, long outputTokens) {
    if (promptTokens < 0 || outputTokens < 0) {
      throw new IllegalArgumentException("Not counts: " + promptTokens + ", " + outputTokens);
    }
    return new TokenStatement(Kind.STATED, Math.addExact(promptTokens, outputTokens));
  }

  /** Returns the stated tokens, if any. */
  Optional<Long> stated() {
    return kind == Kind.STATED ? Optional.of(tokens) : Optional.empty();
  }
}
