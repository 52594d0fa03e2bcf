package org.shallothook.coordination.configuration;

import org.shallothook.state.configuration.ConfigurationError;

/**
 * How the publication of a change ended.
 *
 * <p>All results are immutable and thread-safe.
 */
public sealed interface PublicationResult {

  /**
   * The change has been read back and is in force from its offset on.
   *
   * @param offset offset of the accepted record; a peer above it has the change in force
   */
  record Accepted(long offset) implements PublicationResult {}

  /**
   * Another change of the same template came first.
   *
   * @param detail which change won, and the remedy
   */
  record Conflict(String detail) implements PublicationResult {}

  /**
   * The change is faulty and has no effect.
   *
   * @param error what is wrong with it
   */
  record Invalid(String error) implements PublicationResult {
    static Invalid of(ConfigurationError error) {
      return new Invalid(error.message());
    }
  }

  /**
   * The deadline passed before the change was read back.
   *
   * @param mayTakeEffect whether the change may be in the log, or still arrive there
   */
  record Undecided(boolean mayTakeEffect) implements PublicationResult {}
}
