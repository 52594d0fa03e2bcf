package org.shallothook.protocol.platform;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.shallothook.protocol.json.JsonError;

/**
 * Extracts the data of the events in the bytes of a {@code text/event-stream}.
 *
 * <p>The bytes may arrive in chunks of any size. Only {@code data:} fields are read, and each
 * counts as one event.
 *
 * <p>Invariant: buffers at most one line, of bounded length. Not thread-safe.
 */
public final class ServerSentEventReader {
  private static final String DATA_FIELD = "data:";

  private final int maximumLineBytes;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();

  /**
   * Creates a reader.
   *
   * @param maximumLineBytes maximum length of a line, in bytes
   */
  public ServerSentEventReader(int maximumLineBytes) {
    this.maximumLineBytes = maximumLineBytes;
  }

  /** Consumes the next bytes and returns the data of the events that they complete. */
  public Either<JsonError, List<String>> read(ByteBuffer bytes) {
    List<String> data = new ArrayList<>();
    while (bytes.hasRemaining()) {
      byte next = bytes.get();
      if (next == '\n') {
        endLine(data);
      } else if (line.size() >= maximumLineBytes) {
        return Either.left(new JsonError.NotJson("an event is too long"));
      } else {
        line.write(next);
      }
    }
    return Either.right(data);
  }

  private void endLine(List<String> data) {
    String text = line.toString(StandardCharsets.UTF_8).stripTrailing();
    line.reset();
    if (text.startsWith(DATA_FIELD)) {
      data.add(text.substring(DATA_FIELD.length()).stripLeading());
    }
  }
}
