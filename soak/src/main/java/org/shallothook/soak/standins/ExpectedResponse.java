package org.shallothook.soak.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/**
 * Response bodies derived from the request id, so that a caller can tell a response to another
 * request from its own.
 *
 * <p>Stateless and thread-safe.
 */
public final class ExpectedResponse {
  private static final int MIN_EVENTS = 4;
  private static final int EVENT_COUNT_RANGE = 12;
  private static final String LAST_CHUNK = "0\r\n\r\n";

  private ExpectedResponse() {}

  /** Returns the body of a plain response. */
  public static String plainBody(String request) {
    return (request + ";").repeat(20);
  }

  /** Returns the decoded body of a complete event stream. */
  public static String streamBody(String request) {
    return LongStream.rangeClosed(1, eventCount(request))
        .mapToObj(number -> event(request, number))
        .collect(Collectors.joining());
  }

  /**
   * Returns the chunked encoding of the events after the given event number, with the last chunk.
   */
  static String chunksAfter(String request, long lastEvent) {
    return String.join("", chunkListAfter(request, lastEvent));
  }

  static List<String> chunkListAfter(String request, long lastEvent) {
    List<String> chunks = new ArrayList<>();
    for (long number = lastEvent + 1; number <= eventCount(request); number++) {
      String event = event(request, number);
      chunks.add(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }
    chunks.add(LAST_CHUNK);
    return chunks;
  }

  private static int eventCount(String request) {
    return MIN_EVENTS + Math.floorMod(request.hashCode(), EVENT_COUNT_RANGE);
  }

  private static String event(String request, long number) {
    return "id: " + number + "\ndata: " + request + "-" + number + "\n\n";
  }
}
