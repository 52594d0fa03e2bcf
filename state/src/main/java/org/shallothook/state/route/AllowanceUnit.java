package org.shallothook.state.route;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * What the allowance of a team counts.
 *
 * <p>Immutable and thread-safe.
 */
public enum AllowanceUnit {
  /** Each request costs 1. */
  REQUESTS {
    @Override
    public boolean needsTokenCounts() {
      return false;
    }

    @Override
    long costOf(Optional<Long> statedTokens, long uncachedTokens) {
      return 1;
    }
  },
  /** A request costs the tokens that it states. */
  TOKENS {
    @Override
    public boolean needsTokenCounts() {
      return true;
    }

    @Override
    long costOf(Optional<Long> statedTokens, long uncachedTokens) {
      return statedTokens.orElse(uncachedTokens);
    }
  };

  /** Returns whether token counts that a request states must be readable. */
  public abstract boolean needsTokenCounts();

  /**
   * Returns the cost of a request.
   *
   * @param statedTokens tokens that the request states; empty if it states none
   * @param uncachedTokens cost in tokens of a request that states none
   */
  abstract long costOf(Optional<Long> statedTokens, long uncachedTokens);

  /** Returns the name in configurations. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the unit with a name in configurations, if there is one. */
  public static Optional<AllowanceUnit> ofCode(String code) {
    return Stream.of(values()).filter(unit -> unit.code().equals(code)).findFirst();
  }
}
