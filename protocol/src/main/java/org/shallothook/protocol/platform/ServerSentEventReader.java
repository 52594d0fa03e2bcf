package org.shallothook.protocol.platform;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.shallothook.protocol.json.JsonError;

/**
 * Splits the bytes of a {@code text/event-stream} into the data of its events.
 *
 * <p>Bytes may be cut anywhere. Only {@code data:} lines are read, one to an event.
 *
 * <p>Invariant: keeps at most one line of bounded length. Not thread-safe.
 */
public final class ServerSentEventReader {
  private static final String DATA = "data:";

  private final int maximumLineBytes;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();

  /**
   * Creates a reader.
   *
   * @param maximumLineBytes greatest length of a line
   */
  public ServerSentEventReader(int maximumLineBytes) {
    this.maximumLineBytes = maximumLineBytes;
  }

  /** Takes the next bytes and returns the data of the events that they complete. */
  public Either<JsonError, List<String>> read(ByteBuffer bytes) {
    List<String> data = new ArrayList<>();
    while (bytes.hasRemaining()) {
      byte next = bytes.get();
      if (next == '\n') {
        addData(data);
      } else if (line.size() >= maximumLineBytes) {
        return Either.left(new JsonError.NotJson("an event is too long"));
      } else {
        line.write(next);
      }
    }
    return Either.right(data);
  }

  private void addData(List<String> data) {
    String text = line.toString(StandardCharsets.UTF_8).stripTrailing();
    line.reset();
    if (text.startsWith(DATA)) {
      data.add(text.substring(DATA.length()).stripLeading());
    }
  }
}
