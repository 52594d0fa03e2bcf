package org.shallothook.coordination.quarantine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Digest of the team and the rendered prompt, by which a repeated request is recognised.
 *
 * <p>Holds the state of the digest after a prefix, so that the fingerprints of prompts with this
 * prefix are computed without digesting the prefix again.
 *
 * <p>Invariant: a fingerprint depends only on the team and the whole prompt, not on the length of
 * the prefix that was digested before. Immutable and thread-safe.
 */
public final class Fingerprint {
  private static final String ALGORITHM = "SHA-256";
  private static final int LENGTH_BYTES = 16;

  private final MessageDigest digestState;
  private final int digestedBytes;

  private Fingerprint(MessageDigest digestState, int digestedBytes) {
    this.digestState = digestState;
    this.digestedBytes = digestedBytes;
  }

  /** Returns the digest state of a team for the empty prefix. */
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
   * Returns the digest state after a longer prefix.
   *
   * @param text prefix that begins with the bytes digested so far, which are skipped
   */
  public Fingerprint extend(byte[] text) {
    return new Fingerprint(digestAfter(text), text.length);
  }

  /**
   * Returns the fingerprint of a prompt as 32 lower-case hexadecimal digits.
   *
   * @param prompt prompt that begins with the bytes digested so far, which are skipped
   */
  public String of(byte[] prompt) {
    return HexFormat.of().formatHex(digestAfter(prompt).digest(), 0, LENGTH_BYTES);
  }

  private MessageDigest digestAfter(byte[] text) {
    MessageDigest copy = copyOfDigestState();
    copy.update(text, digestedBytes, text.length - digestedBytes);
    return copy;
  }

  private MessageDigest copyOfDigestState() {
    try {
      return (MessageDigest) digestState.clone();
    } catch (CloneNotSupportedException e) {
      throw new IllegalStateException("The Java runtime cannot clone the state of " + ALGORITHM, e);
    }
  }
}
