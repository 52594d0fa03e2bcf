package org.shallothook.soak.standins;

/**
 * Ways in which a server spoils an answer. {@code whole} is the answer that was due.
 *
 * <p>Immutable and thread-safe.
 */
public enum AnswerFault {
  /** Ends the connection in the middle. */
  CUT {
    @Override
    void answer(HttpCall call, String whole) {
      call.write(whole.substring(0, whole.length() / 2));
      call.after(SHORT_MILLIS, call::close);
    }
  },
  /** Resets the connection in the middle. */
  RESET {
    @Override
    void answer(HttpCall call, String whole) {
      call.write(whole.substring(0, whole.length() * 2 / 3));
      call.after(SHORT_MILLIS, call::reset);
    }
  },
  /** Stops in the middle and keeps the connection open. */
  STALL {
    @Override
    void answer(HttpCall call, String whole) {
      call.write(whole.substring(0, whole.length() / 2));
    }
  },
  /** Sends the second half byte by byte, far too slowly. */
  DRIP {
    @Override
    void answer(HttpCall call, String whole) {
      call.write(whole.substring(0, whole.length() / 2));
      drip(call, whole, whole.length() / 2);
    }
  },
  /** Answers, and answers once more when the connection may be in use again. */
  SECOND_COPY {
    @Override
    void answer(HttpCall call, String whole) {
      call.write(whole);
      call.after(SHORT_MILLIS, () -> call.write(whole));
    }
  },
  /** Sends bytes that are no answer until the caller closes. */
  ENDLESS_HEAD {
    @Override
    void answer(HttpCall call, String whole) {
      call.write("HTTP/1.1 200 OK\r\n");
      repeat(call, "x: y\r\n".repeat(100), 1);
    }
  },
  /** Answers, and goes on with bytes that are no answer until the caller closes. */
  ENDLESS_SURPLUS {
    @Override
    void answer(HttpCall call, String whole) {
      call.write(whole);
      repeat(call, "x".repeat(1_000), 1);
    }
  },
  /** Has run the request and fails. */
  ERROR {
    @Override
    void answer(HttpCall call, String whole) {
      call.write(whole.replaceFirst("200", "500"));
    }
  };

  private static final long SHORT_MILLIS = 15;
  private static final long LONG_MILLIS = 200;

  /** Writes the spoiled answer. */
  abstract void answer(HttpCall call, String whole);

  private static void drip(HttpCall call, String whole, int next) {
    if (call.isOpen() && next < whole.length()) {
      call.write(whole.substring(next, next + 1));
      call.after(LONG_MILLIS, () -> drip(call, whole, next + 1));
    }
  }

  private static void repeat(HttpCall call, String text, long millis) {
    if (call.isOpen()) {
      if (call.isWritable()) {
        call.write(text);
      }
      call.after(millis, () -> repeat(call, text, millis));
    }
  }
}
