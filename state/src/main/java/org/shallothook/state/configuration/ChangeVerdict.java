package org.shallothook.state.configuration;

/** What the fold made of a record of the configuration stream. Immutable and thread-safe. */
public enum ChangeVerdict {
  /** The change is in force. */
  ACCEPTED,
  /** The change was accepted at an earlier offset; this record has no effect. */
  REPEATED,
  /** Another change of the same template came first; this record has no effect. */
  CONFLICT,
  /** The record or its template is faulty; it has no effect. */
  INVALID,
  /** The record belongs to a snapshot and changes nothing. */
  SNAPSHOT,
  /** A model version is loaded wherever it is served, so earlier ones are no longer used. */
  ROLLED_OUT
}
