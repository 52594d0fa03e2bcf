package org.shallothook.state.route;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Digests of texts.
 *
 * <p>Stateless and thread-safe.
 */
final class Digests {
  private Digests() {}

  /** Returns the SHA-256 digest of a text as hexadecimal digits. */
  static String hexOf(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("Every Java runtime provides SHA-256", e);
    }
  }
}
