package org.shallothook.coordination.configuration;

import org.shallothook.state.configuration.ConfigurationError;

/**
 * Result of the publication of a change.
 *
 * <p>All results are immutable and thread-safe.
 */
public sealed interface PublicationResult {

  /**
   * The change was read back and is in force from its offset on.
   *
   * @param offset offset of the accepted record; a peer with a higher offset has the change in
   *     force
   */
  record Accepted(long offset) implements PublicationResult {}

  /**
   * Another change of the same template has a lower offset and won.
   *
   * @param detail the change that won, and how to resolve the conflict
   */
  record Conflict(String detail) implements PublicationResult {}

  /**
   * The change is invalid and has no effect.
   *
   * @param error description of the error
   */
  record Invalid(String error) implements PublicationResult {
    static Invalid of(ConfigurationError error) {
      return new Invalid(error.message());
    }
  }

  /**
   * The deadline passed before the change was read back.
   *
   * @param mayTakeEffect whether the change may already be in the log or still reach it
   */
  record Undecided(boolean mayTakeEffect) implements PublicationResult {}
}
