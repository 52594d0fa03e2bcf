package org.shallothook.router;

import org.shallothook.coordination.configuration.PublicationResult;

/**
 * Form of the answer to an order to publish.
 *
 * <p>Immutable and thread-safe.
 *
 * @param result {@code accepted}, {@code conflict}, {@code invalid} or {@code undecided}
 * @param offset offset of the accepted record, otherwise -1
 * @param detail what was found, with the remedy; empty for an accepted change
 */
record PublishAnswer(String result, long offset, String detail) {
  static final String ACCEPTED = "accepted";
  static final String CONFLICT = "conflict";
  static final String INVALID = "invalid";
  static final String UNDECIDED = "undecided";

  static PublishAnswer of(PublicationResult result) {
    if (result instanceof PublicationResult.Accepted accepted) {
      return new PublishAnswer(ACCEPTED, accepted.offset(), "");
    }
    if (result instanceof PublicationResult.Conflict conflict) {
      return new PublishAnswer(CONFLICT, -1, conflict.detail());
    }
    if (result instanceof PublicationResult.Invalid invalid) {
      return new PublishAnswer(INVALID, -1, invalid.error());
    }
    boolean mayTakeEffect = ((PublicationResult.Undecided) result).mayTakeEffect();
    return new PublishAnswer(
        UNDECIDED,
        -1,
        mayTakeEffect
            ? "The change may take effect; publish again with the same --change to find out."
            : "The log took nothing; publish again with the same --change.");
  }
}
