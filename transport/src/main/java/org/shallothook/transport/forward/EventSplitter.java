package org.shallothook.transport.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries and remembers the last event id.
 *
 * <p>If the server fails, another server can resume the stream after that event; the incomplete
 * event at the end of the failed server's bytes is discarded.
 *
 * <p>Invariant: the bytes returned end with a complete event, and event ids increase. The work for
 * a part is proportional to its size, whatever is buffered of its event. Not thread-safe.
 */
final class EventSplitter {
  private static final int MAXIMUM_EVENT_BYTES = 64 << 10;

  private static final byte[] ID_FIELD = "id".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DATA_FIELD = "data".getBytes(StandardCharsets.US_ASCII);

  private final ByteBufAllocator allocator;
  private ByteBuf partial = Unpooled.EMPTY_BUFFER;
  private Optional<Long> lastEventId;
  private boolean hasCompletedData;

  /** Number of bytes of the incomplete event that are known to contain no blank line. */
  private int searchedBytes;

  /** Position of the last line of the incomplete event, counted from its first byte. */
  private int lineStart;

  EventSplitter(ByteBufAllocator allocator, Optional<Long> lastEventId) {
    this.allocator = allocator;
    this.lastEventId = lastEventId;
  }

  /** Returns the id of the last complete event that had a numeric id. */
  Optional<Long> lastEventId() {
    return lastEventId;
  }

  /**
   * Returns whether the last part has completed an event that carries data, unlike blank lines and
   * comments, which a server may send without end.
   */
  boolean hasCompletedData() {
    return hasCompletedData;
  }

  /** Returns the size of the incomplete event that is buffered. */
  int partialBytes() {
    return partial.readableBytes();
  }

  /** Returns whether bytes of an incomplete event are buffered. */
  boolean holdsPartialEvent() {
    return partial.isReadable();
  }

  /**
   * Appends bytes to the buffer and returns all complete events. The caller of this method releases
   * the returned buffer. Events whose id is not greater than the last one are discarded, because
   * the receiver already has them.
   *
   * @throws IllegalArgumentException if an event is larger than 64 KiB
   */
  ByteBuf split(ByteBuf bytes) {
    hasCompletedData = false;
    boolean isContinued = partial.isReadable();
    ByteBuf all = isContinued ? partial.writeBytes(bytes) : bytes.duplicate();
    ByteBuf complete = takeCompleteEvents(all);
    if (all.readableBytes() > MAXIMUM_EVENT_BYTES) {
      complete.release();
      release();
      throw new IllegalArgumentException("a server-sent event is too large");
    }
    if (!isContinued && all.isReadable()) {
      partial = allocator.buffer(all.readableBytes()).writeBytes(all);
    } else if (isContinued && !all.isReadable()) {
      release();
    } else if (isContinued && all.readerIndex() > 0) {
      all.discardReadBytes();
    }
    return complete;
  }

  /** Discards the buffered bytes of an incomplete event. */
  void release() {
    partial.release();
    partial = Unpooled.EMPTY_BUFFER;
    searchedBytes = 0;
    lineStart = 0;
  }

  private ByteBuf takeCompleteEvents(ByteBuf all) {
    ByteBuf complete = Unpooled.EMPTY_BUFFER;
    int end = indexAfterEvent(all);
    while (end > 0) {
      int start = all.readerIndex();
      Optional<Long> eventId = eventIdOf(all, start, end);
      boolean isDuplicate =
          eventId.isPresent() && lastEventId.filter(last -> eventId.get() <= last).isPresent();
      if (!isDuplicate) {
        hasCompletedData |= indexAfterName(all, start, end, DATA_FIELD) >= 0;
        complete = complete.isReadable() ? complete : allocator.buffer(all.readableBytes());
        complete.writeBytes(all, start, end - start);
        lastEventId = eventId.or(() -> lastEventId);
      }
      all.readerIndex(end);
      end = indexAfterEvent(all);
    }
    return complete;
  }

  /** Returns the index after the first blank line, or -1 if there is none. */
  private int indexAfterEvent(ByteBuf bytes) {
    int start = bytes.readerIndex();
    int lineEnd = bytes.indexOf(start + searchedBytes, bytes.writerIndex(), (byte) '\n');
    while (lineEnd >= 0) {
      int length = lineEnd - start - lineStart;
      boolean isBlank = length == 0 || (length == 1 && bytes.getByte(lineEnd - 1) == '\r');
      lineStart = lineEnd + 1 - start;
      if (isBlank) {
        searchedBytes = 0;
        lineStart = 0;
        return lineEnd + 1;
      }
      lineEnd = bytes.indexOf(lineEnd + 1, bytes.writerIndex(), (byte) '\n');
    }
    searchedBytes = bytes.readableBytes();
    return -1;
  }

  private static Optional<Long> eventIdOf(ByteBuf bytes, int start, int end) {
    int from = indexAfterName(bytes, start, end, ID_FIELD);
    if (from < 0 || bytes.getByte(from) != ':') {
      return Optional.empty();
    }
    int lineEnd = bytes.indexOf(from, end, (byte) '\n');
    String text = bytes.toString(from + 1, lineEnd - from - 1, StandardCharsets.US_ASCII).trim();
    return parseEventId(text);
  }

  /** Returns the index after the name of the first field that has this name, or -1 if none has. */
  private static int indexAfterName(ByteBuf bytes, int start, int end, byte[] name) {
    int lineStart = start;
    while (lineStart < end) {
      int lineEnd = bytes.indexOf(lineStart, end, (byte) '\n');
      int nameEnd = lineStart + name.length;
      if (nameEnd <= lineEnd && startsWith(bytes, lineStart, name) && endsName(bytes, nameEnd)) {
        return nameEnd;
      }
      lineStart = lineEnd + 1;
    }
    return -1;
  }

  private static boolean startsWith(ByteBuf bytes, int start, byte[] name) {
    for (int index = 0; index < name.length; index++) {
      if (bytes.getByte(start + index) != name[index]) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether a name ends before an index: at its colon, or with its line. */
  private static boolean endsName(ByteBuf bytes, int index) {
    byte next = bytes.getByte(index);
    return next == ':' || next == '\r' || next == '\n';
  }

  /** Returns empty for a non-numeric id: such an event is passed on, but cannot be resumed from. */
  private static Optional<Long> parseEventId(String text) {
    boolean isNumber =
        !text.isEmpty() && text.length() < 19 && text.chars().allMatch(Character::isDigit);
    return isNumber ? Optional.of(Long.parseLong(text)) : Optional.empty();
  }
}
