package org.shallothook.state.configuration;

/** Result of folding a record of the configuration stream. Immutable and thread-safe. */
public enum ChangeVerdict {
  /** The change was accepted and is in force. */
  ACCEPTED,
  /** The change was accepted at an earlier offset; this record has no effect. */
  REPEATED,
  /** Another change of the same template was accepted first; this record has no effect. */
  CONFLICT,
  /** The record or its template is invalid; it has no effect. */
  INVALID,
  /** The record is part of a snapshot; it does not change the configuration. */
  SNAPSHOT,
  /**
   * A model version is loaded wherever an earlier one was served, so earlier ones are no longer
   * used.
   */
  ROLLED_OUT
}
