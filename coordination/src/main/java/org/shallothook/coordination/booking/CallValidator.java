package org.shallothook.coordination.booking;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.booking.IdempotencyKeyTime;
import org.shallothook.state.request.RefusalReason;

/**
 * Checks of a call that need no claim, made before one is requested.
 *
 * <p>Immutable and thread-safe.
 */
final class CallValidator {
  private static final int MAX_KEY_CHARACTERS = 256;

  /** Length to which digests are truncated, in bytes. */
  private static final int DIGEST_BYTES = 16;

  private final ClaimOptions options;

  CallValidator(ClaimOptions options) {
    this.options = options;
  }

  /** Returns why the call must be refused, or empty if a claim may be requested for it. */
  Optional<RefusalReason> refusal(PeerMessage.Call call, long nowMicros) {
    String key = call.idempotencyKey().orElse("");
    if (key.isBlank()) {
      return Optional.of(RefusalReason.IDEMPOTENCY_KEY_MISSING);
    }
    if (key.length() > MAX_KEY_CHARACTERS) {
      return Optional.of(RefusalReason.MALFORMED_REQUEST);
    }
    if (call.deadlineMicros() <= nowMicros) {
      return Optional.of(RefusalReason.DEADLINE_PASSED);
    }
    boolean isExpired =
        IdempotencyKeyTime.createdAtMicros(key)
            .filter(createdMicros -> createdMicros < nowMicros - options.windowMicros())
            .isPresent();
    return isExpired ? Optional.of(RefusalReason.IDEMPOTENCY_KEY_EXPIRED) : Optional.empty();
  }

  /**
   * Returns the time encoded in the key, in microseconds since the epoch. Empty if the key encodes
   * none, or one further in the future than clock skew explains.
   */
  Optional<Long> provenCreationMicros(PeerMessage.Call call, long nowMicros) {
    return call.idempotencyKey()
        .flatMap(IdempotencyKeyTime::createdAtMicros)
        .filter(createdMicros -> createdMicros <= nowMicros + options.clockSkewMicros());
  }

  /** Returns the truncated SHA-256 digest of path, content type and body, in hexadecimal. */
  static String digest(PeerMessage.Call call) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      String payload = call.path() + '\n' + call.contentType() + '\n' + call.body();
      byte[] digest = sha256.digest(payload.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(digest, 0, DIGEST_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "SHA-256 is not available, but every Java platform must provide it", e);
    }
  }
}
