package org.shallothook.coordination.booking;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.booking.KeyAge;
import org.shallothook.state.request.RefusalReason;

/**
 * What can be told of a call before anything is claimed for it.
 *
 * <p>Immutable and thread-safe.
 */
final class CallScreening {
  private static final int LONGEST_KEY = 256;
  private static final int DIGEST_BYTES = 16;

  private final ClaimOptions options;

  CallScreening(ClaimOptions options) {
    this.options = options;
  }

  Optional<RefusalReason> refusal(PeerMessage.Call call, long nowMicros) {
    String key = call.idempotencyKey().orElse("");
    if (key.isBlank()) {
      return Optional.of(RefusalReason.IDEMPOTENCY_KEY_MISSING);
    }
    if (key.length() > LONGEST_KEY) {
      return Optional.of(RefusalReason.MALFORMED_REQUEST);
    }
    if (call.deadlineMicros() <= nowMicros) {
      return Optional.of(RefusalReason.DEADLINE_PASSED);
    }
    boolean isExpired =
        KeyAge.createdAtMicros(key)
            .filter(made -> made < nowMicros - options.windowMicros())
            .isPresent();
    return isExpired ? Optional.of(RefusalReason.IDEMPOTENCY_KEY_EXPIRED) : Optional.empty();
  }

  /** Returns when the key was made, if it proves that with a time that can be true. */
  Optional<Long> provenCreation(PeerMessage.Call call, long nowMicros) {
    return call.idempotencyKey()
        .flatMap(KeyAge::createdAtMicros)
        .filter(made -> made <= nowMicros + options.clockSkewMicros());
  }

  /** Returns the digest of path, content type and body. */
  static String digest(PeerMessage.Call call) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      String payload = call.path() + '\n' + call.contentType() + '\n' + call.body();
      byte[] digest = sha256.digest(payload.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(digest, 0, DIGEST_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("Every Java runtime has SHA-256.", e);
    }
  }
}
