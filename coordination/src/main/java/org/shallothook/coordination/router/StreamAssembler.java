package org.shallothook.coordination.router;

/**
 * Joins the frames of a request's attempts into one complete stream.
 *
 * <p>Invariant: what has been taken is a gapless run of tokens from position 0, each taken once.
 * Not thread-safe.
 */
final class StreamAssembler {

  /** What a frame is worth. Immutable and thread-safe. */
  enum Verdict {
    /** The frame starts at the next position and was taken. */
    NEXT,
    /** All its tokens were taken before. */
    DUPLICATE,
    /** Tokens before it are missing, or it is joined wrongly; its attempt cannot go on. */
    GAP
  }

  private final StringBuilder text = new StringBuilder();
  private int position;

  /** Returns the number of tokens taken. */
  int position() {
    return position;
  }

  /** Returns the text taken. */
  String text() {
    return text.toString();
  }

  /**
   * Takes a frame if it is the next.
   *
   * @param start number of tokens before the frame
   * @param count number of tokens in it
   * @param frameText their text
   */
  Verdict accept(int start, int count, String frameText) {
    if (start < 0 || count <= 0) {
      return Verdict.GAP;
    }
    if (start == position) {
      position += count;
      text.append(frameText);
      return Verdict.NEXT;
    }
    return (long) start + count <= position ? Verdict.DUPLICATE : Verdict.GAP;
  }

  /** Returns whether an answer of that many tokens has been taken whole. */
  boolean isComplete(int tokens) {
    return tokens == position;
  }
}
