package org.shallothook.soak.standins;

/**
 * Faulty responses of a server.
 *
 * <p>Immutable and thread-safe.
 */
public enum ResponseFault {
  /** Closes the connection in the middle of the response. */
  CUT {
    @Override
    void respond(StandinRequest call, String response) {
      call.write(response.substring(0, response.length() / 2));
      call.schedule(FAULT_DELAY_MILLIS, call::close);
    }
  },
  /** Resets the connection in the middle of the response. */
  RESET {
    @Override
    void respond(StandinRequest call, String response) {
      call.write(response.substring(0, response.length() * 2 / 3));
      call.schedule(FAULT_DELAY_MILLIS, call::reset);
    }
  },
  /** Stops in the middle of the response and keeps the connection open. */
  STALL {
    @Override
    void respond(StandinRequest call, String response) {
      call.write(response.substring(0, response.length() / 2));
    }
  },
  /** Sends the second half of the response one byte at a time, far too slowly. */
  TRICKLE {
    @Override
    void respond(StandinRequest call, String response) {
      call.write(response.substring(0, response.length() / 2));
      trickle(call, response, response.length() / 2);
    }
  },
  /**
   * Sends the response twice; the second may arrive while the connection serves another request.
   */
  DUPLICATE_RESPONSE {
    @Override
    void respond(StandinRequest call, String response) {
      call.write(response);
      call.schedule(FAULT_DELAY_MILLIS, () -> call.write(response));
    }
  },
  /** Sends header lines without end until the peer closes the connection. */
  ENDLESS_HEADERS {
    @Override
    void respond(StandinRequest call, String response) {
      call.write("HTTP/1.1 200 OK\r\n");
      repeat(call, "x: y\r\n".repeat(100), 1);
    }
  },
  /** Sends the response, then surplus bytes until the peer closes the connection. */
  ENDLESS_TRAILING_BYTES {
    @Override
    void respond(StandinRequest call, String response) {
      call.write(response);
      repeat(call, "x".repeat(1_000), 1);
    }
  },
  /** Responds with status 500 although the request has run. */
  ERROR {
    @Override
    void respond(StandinRequest call, String response) {
      call.write(response.replaceFirst("200", "500"));
    }
  };

  private static final long FAULT_DELAY_MILLIS = 15;
  private static final long TRICKLE_INTERVAL_MILLIS = 200;

  /**
   * Writes a faulty response.
   *
   * @param response the complete correct response, with its headers
   */
  abstract void respond(StandinRequest call, String response);

  private static void trickle(StandinRequest call, String response, int next) {
    if (call.isOpen() && next < response.length()) {
      call.write(response.substring(next, next + 1));
      call.schedule(TRICKLE_INTERVAL_MILLIS, () -> trickle(call, response, next + 1));
    }
  }

  private static void repeat(StandinRequest call, String text, long intervalMillis) {
    if (call.isOpen()) {
      if (call.isWritable()) {
        call.write(text);
      }
      call.schedule(intervalMillis, () -> repeat(call, text, intervalMillis));
    }
  }
}
