package org.shallothook.coordination.quarantine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Digest that recognises a request sent again: of the team and the rendered prompt.
 *
 * <p>Stateless and thread-safe.
 */
public final class Fingerprint {
  private static final String ALGORITHM = "SHA-256";
  private static final int BYTES = 16;

  private Fingerprint() {}

  /** Returns the fingerprint as 32 lower-case hexadecimal digits. */
  public static String of(String team, byte[] prompt) {
    try {
      MessageDigest digest = MessageDigest.getInstance(ALGORITHM);
      digest.update(team.getBytes(StandardCharsets.UTF_8));
      digest.update((byte) 0);
      return HexFormat.of().formatHex(digest.digest(prompt), 0, BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("Every Java runtime provides " + ALGORITHM, e);
    }
  }
}
