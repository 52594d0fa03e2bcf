package org.shallothook.coordination.quarantine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Digest that recognises a request sent again: of the team and the rendered prompt.
 *
 * <p>Holds the state of the digest after a text, so that the fingerprints of prompts that begin
 * with it are computed without reading it again.
 *
 * <p>Invariant: a fingerprint depends on the team and the whole prompt alone, not on how much of it
 * was read before. Immutable and thread-safe.
 */
public final class Fingerprint {
  private static final String ALGORITHM = "SHA-256";
  private static final int BYTES = 16;

  private final MessageDigest state;
  private final int bytesRead;

  private Fingerprint(MessageDigest state, int bytesRead) {
    this.state = state;
    this.bytesRead = bytesRead;
  }

  /** Returns the state after no text of a team. */
  public static Fingerprint empty(String team) {
    try {
      MessageDigest digest = MessageDigest.getInstance(ALGORITHM);
      digest.update(team.getBytes(StandardCharsets.UTF_8));
      digest.update((byte) 0);
      return new Fingerprint(digest, 0);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("Every Java runtime provides " + ALGORITHM, e);
    }
  }

  /** Returns the fingerprint of a prompt as 32 lower-case hexadecimal digits. */
  public static String of(String team, byte[] prompt) {
    return empty(team).of(prompt);
  }

  /**
   * Returns the state after a text.
   *
   * @param text text that begins with what was read, which is not read again
   */
  public Fingerprint extend(byte[] text) {
    return new Fingerprint(digestAfter(text), text.length);
  }

  /**
   * Returns the fingerprint of a prompt as 32 lower-case hexadecimal digits.
   *
   * @param prompt prompt that begins with what was read, which is not read again
   */
  public String of(byte[] prompt) {
    return HexFormat.of().formatHex(digestAfter(prompt).digest(), 0, BYTES);
  }

  private MessageDigest digestAfter(byte[] text) {
    MessageDigest copy = copyOfState();
    copy.update(text, bytesRead, text.length - bytesRead);
    return copy;
  }

  private MessageDigest copyOfState() {
    try {
      return (MessageDigest) state.clone();
    } catch (CloneNotSupportedException e) {
      throw new IllegalStateException("The Java runtime must be able to copy " + ALGORITHM, e);
    }
  }
}
