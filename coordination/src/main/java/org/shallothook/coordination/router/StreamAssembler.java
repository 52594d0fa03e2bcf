package org.shallothook.coordination.router;

/**
 * Joins the frames of a request's attempts into one complete stream.
 *
 * <p>Invariant: the accepted tokens are contiguous from position 0, each accepted once. Not
 * thread-safe.
 */
final class StreamAssembler {

  /** Result of accepting a frame. Immutable and thread-safe. */
  enum Verdict {
    /** The frame starts at the next position and was accepted. */
    NEXT,
    /** All its tokens were accepted before. */
    DUPLICATE,
    /**
     * Tokens before the frame are missing, or it overlaps accepted tokens only in part. Its attempt
     * cannot continue.
     */
    GAP
  }

  private final StringBuilder text = new StringBuilder();
  private int position;

  /** Returns the number of tokens accepted. */
  int position() {
    return position;
  }

  /** Returns the text accepted. */
  String text() {
    return text.toString();
  }

  /**
   * Accepts a frame if it starts at the next position.
   *
   * @param start number of tokens that precede the frame in the answer
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

  /** Returns whether exactly the given number of tokens has been accepted. */
  boolean isComplete(int tokens) {
    return tokens == position;
  }
}
