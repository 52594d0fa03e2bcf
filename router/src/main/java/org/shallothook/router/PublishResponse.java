package org.shallothook.router;

import org.shallothook.coordination.configuration.PublicationResult;

/**
 * JSON response to a {@link PublishRequest}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param result {@code accepted}, {@code conflict}, {@code invalid} or {@code undecided}
 * @param offset offset of the accepted record, otherwise -1
 * @param detail the error and how to resolve it; empty for an accepted change
 */
record PublishResponse(String result, long offset, String detail) {
  static final String ACCEPTED = "accepted";
  static final String CONFLICT = "conflict";
  static final String INVALID = "invalid";
  static final String UNDECIDED = "undecided";

  static PublishResponse of(PublicationResult result) {
    if (result instanceof PublicationResult.Accepted accepted) {
      return new PublishResponse(ACCEPTED, accepted.offset(), "");
    }
    if (result instanceof PublicationResult.Conflict conflict) {
      return new PublishResponse(CONFLICT, -1, conflict.detail());
    }
    if (result instanceof PublicationResult.Invalid invalid) {
      return new PublishResponse(INVALID, -1, invalid.error());
    }
    boolean mayTakeEffect = ((PublicationResult.Undecided) result).mayTakeEffect();
    return new PublishResponse(
        UNDECIDED,
        -1,
        mayTakeEffect
            ? "The change may still take effect; publish again with the same --change to find out."
            : "The change was not appended to the log; publish again with the same --change.");
  }
}
