package org.shallothook.soak.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/**
 * Answers that follow from the id of their request, so that a caller knows its own.
 *
 * <p>Stateless and thread-safe.
 */
public final class ExpectedAnswer {
  private static final int FEWEST_EVENTS = 4;
  private static final int MOST_MORE_EVENTS = 12;
  private static final String LAST_CHUNK = "0\r\n\r\n";

  private ExpectedAnswer() {}

  /** Returns the body of a plain answer. */
  public static String plain(String request) {
    return (request + ";").repeat(20);
  }

  /** Returns the body of a whole stream. */
  public static String stream(String request) {
    return LongStream.rangeClosed(1, events(request))
        .mapToObj(number -> event(request, number))
        .collect(Collectors.joining());
  }

  static String chunksAfter(String request, long after) {
    return String.join("", chunkListAfter(request, after));
  }

  static List<String> chunkListAfter(String request, long after) {
    List<String> chunks = new ArrayList<>();
    for (long number = after + 1; number <= events(request); number++) {
      String event = event(request, number);
      chunks.add(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }
    chunks.add(LAST_CHUNK);
    return chunks;
  }

  private static int events(String request) {
    return FEWEST_EVENTS + Math.floorMod(request.hashCode(), MOST_MORE_EVENTS);
  }

  private static String event(String request, long number) {
    return "id: " + number + "\ndata: " + request + "-" + number + "\n\n";
  }
}
