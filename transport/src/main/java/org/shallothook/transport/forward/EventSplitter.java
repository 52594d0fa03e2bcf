package org.shallothook.transport.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events at whole events, and remembers the last one.
 *
 * <p>A later server that goes on with the stream starts after that event; what a broken server left
 * unfinished is dropped.
 *
 * <p>Invariant: what is handed out ends with a whole event, and the numbers of events grow. Not
 * thread-safe.
 */
final class EventSplitter {
  /** Greatest size of one event. */
  private static final int LARGEST_EVENT_BYTES = 64 << 10;

  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private final ByteBufAllocator allocator;
  private ByteBuf partial = Unpooled.EMPTY_BUFFER;
  private Optional<Long> lastEvent;

  EventSplitter(ByteBufAllocator allocator, Optional<Long> lastEvent) {
    this.allocator = allocator;
    this.lastEvent = lastEvent;
  }

  /** Returns the number of the last whole event. */
  Optional<Long> lastEvent() {
    return lastEvent;
  }

  /** Returns whether bytes of an unfinished event are held. */
  boolean holdsPartialEvent() {
    return partial.isReadable();
  }

  /**
   * Takes in bytes and returns the whole events now complete, which the caller releases.
   *
   * @throws IllegalArgumentException if an event is larger than allowed
   */
  ByteBuf cut(ByteBuf bytes) {
    ByteBuf all = bytes;
    if (partial.isReadable()) {
      all = allocator.buffer(partial.readableBytes() + bytes.readableBytes());
      all.writeBytes(partial).writeBytes(bytes);
    } else {
      all.retain();
    }
    partial.release();
    partial = Unpooled.EMPTY_BUFFER;
    ByteBuf whole = takeWhole(all);
    if (all.readableBytes() > LARGEST_EVENT_BYTES) {
      all.release();
      whole.release();
      throw new IllegalArgumentException("an event is too large");
    }
    partial = all.isReadable() ? all.copy() : Unpooled.EMPTY_BUFFER;
    all.release();
    return whole;
  }

  /** Returns what is held at the proper end of a stream and drops it here. */
  ByteBuf rest() {
    ByteBuf rest = partial;
    partial = Unpooled.EMPTY_BUFFER;
    return rest;
  }

  /** Drops what is held of an unfinished event. */
  void release() {
    partial.release();
    partial = Unpooled.EMPTY_BUFFER;
  }

  private ByteBuf takeWhole(ByteBuf all) {
    ByteBuf whole = allocator.buffer(all.readableBytes());
    int end = endOfEvent(all);
    while (end > 0) {
      int length = end - all.readerIndex();
      Optional<Long> number = numberOf(all, all.readerIndex(), end);
      boolean isRepeated =
          number.isPresent() && lastEvent.filter(last -> number.get() <= last).isPresent();
      if (isRepeated) {
        all.skipBytes(length);
      } else {
        whole.writeBytes(all, length);
        lastEvent = number.or(() -> lastEvent);
      }
      end = endOfEvent(all);
    }
    return whole;
  }

  /** Returns the index behind the first blank line, or -1. */
  private static int endOfEvent(ByteBuf bytes) {
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

  private static Optional<Long> numberOf(ByteBuf bytes, int start, int end) {
    int lineStart = start;
    while (lineStart < end) {
      int found = bytes.indexOf(lineStart, end, (byte) '\n');
      int lineEnd = found < 0 ? end : found;
      if (startsWithId(bytes, lineStart, lineEnd)) {
        int from = lineStart + ID_FIELD.length;
        String text = bytes.toString(from, lineEnd - from, StandardCharsets.US_ASCII).trim();
        return parse(text);
      }
      lineStart = lineEnd + 1;
    }
    return Optional.empty();
  }

  private static boolean startsWithId(ByteBuf bytes, int start, int end) {
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

  /** An event whose number is none is passed on without moving the place to resume from. */
  private static Optional<Long> parse(String text) {
    boolean isNumber =
        !text.isEmpty() && text.length() < 19 && text.chars().allMatch(Character::isDigit);
    return isNumber ? Optional.of(Long.parseLong(text)) : Optional.empty();
  }
}
