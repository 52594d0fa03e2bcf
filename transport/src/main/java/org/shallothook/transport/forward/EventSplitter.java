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
 * <p>Invariant: the bytes returned end with a complete event, and event ids increase. Not
 * thread-safe.
 */
final class EventSplitter {
  private static final int MAXIMUM_EVENT_BYTES = 64 << 10;

  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private final ByteBufAllocator allocator;
  private ByteBuf partial = Unpooled.EMPTY_BUFFER;
  private Optional<Long> lastEventId;

  EventSplitter(ByteBufAllocator allocator, Optional<Long> lastEventId) {
    this.allocator = allocator;
    this.lastEventId = lastEventId;
  }

  /** Returns the id of the last complete event that had a numeric id. */
  Optional<Long> lastEventId() {
    return lastEventId;
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
    ByteBuf all = bytes;
    if (partial.isReadable()) {
      all = allocator.buffer(partial.readableBytes() + bytes.readableBytes());
      all.writeBytes(partial).writeBytes(bytes);
    } else {
      all.retain();
    }
    partial.release();
    partial = Unpooled.EMPTY_BUFFER;
    ByteBuf complete = takeCompleteEvents(all);
    if (all.readableBytes() > MAXIMUM_EVENT_BYTES) {
      all.release();
      complete.release();
      throw new IllegalArgumentException("a server-sent event is too large");
    }
    partial = all.isReadable() ? all.copy() : Unpooled.EMPTY_BUFFER;
    all.release();
    return complete;
  }

  /** Returns the buffered bytes after the stream has ended and clears the buffer. */
  ByteBuf takeRemainder() {
    ByteBuf remainder = partial;
    partial = Unpooled.EMPTY_BUFFER;
    return remainder;
  }

  /** Discards the buffered bytes of an incomplete event. */
  void release() {
    partial.release();
    partial = Unpooled.EMPTY_BUFFER;
  }

  private ByteBuf takeCompleteEvents(ByteBuf all) {
    ByteBuf complete = allocator.buffer(all.readableBytes());
    int end = indexAfterEvent(all);
    while (end > 0) {
      int length = end - all.readerIndex();
      Optional<Long> eventId = eventIdOf(all, all.readerIndex(), end);
      boolean isDuplicate =
          eventId.isPresent() && lastEventId.filter(last -> eventId.get() <= last).isPresent();
      if (isDuplicate) {
        all.skipBytes(length);
      } else {
        complete.writeBytes(all, length);
        lastEventId = eventId.or(() -> lastEventId);
      }
      end = indexAfterEvent(all);
    }
    return complete;
  }

  /** Returns the index after the first blank line, or -1 if there is none. */
  private static int indexAfterEvent(ByteBuf bytes) {
    int start = bytes.readerIndex();
    int lineStart = start;
    int lineEnd = bytes.indexOf(lineStart, bytes.writerIndex(), (byte) '\n');
    while (lineEnd >= 0) {
      int length = lineEnd - lineStart;
      boolean isBlank = length == 0 || (length == 1 && bytes.getByte(lineStart) == '\r');
      if (isBlank) {
        return lineEnd + 1;
      }
      lineStart = lineEnd + 1;
      lineEnd = bytes.indexOf(lineStart, bytes.writerIndex(), (byte) '\n');
    }
    return -1;
  }

  private static Optional<Long> eventIdOf(ByteBuf bytes, int start, int end) {
    int lineStart = start;
    while (lineStart < end) {
      int found = bytes.indexOf(lineStart, end, (byte) '\n');
      int lineEnd = found < 0 ? end : found;
      if (startsWithIdField(bytes, lineStart, lineEnd)) {
        int from = lineStart + ID_FIELD.length;
        String text = bytes.toString(from, lineEnd - from, StandardCharsets.US_ASCII).trim();
        return parseEventId(text);
      }
      lineStart = lineEnd + 1;
    }
    return Optional.empty();
  }

  private static boolean startsWithIdField(ByteBuf bytes, int start, int end) {
    if (end - start < ID_FIELD.length) {
      return false;
    }
    for (int index = 0; index < ID_FIELD.length; index++) {
      if (bytes.getByte(start + index) != ID_FIELD[index]) {
        return false;
      }
    }
    return true;
  }

  /** Returns empty for a non-numeric id: such an event is passed on, but cannot be resumed from. */
  private static Optional<Long> parseEventId(String text) {
    boolean isNumber =
        !text.isEmpty() && text.length() < 19 && text.chars().allMatch(Character::isDigit);
    return isNumber ? Optional.of(Long.parseLong(text)) : Optional.empty();
  }
}
