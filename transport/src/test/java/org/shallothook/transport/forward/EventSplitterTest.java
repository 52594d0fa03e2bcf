package org.shallothook.transport.forward;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A stream received in arbitrary pieces is passed on in complete events only. */
final class EventSplitterTest {
  private static final String STREAM =
      "id: 1\ndata: a\n\nversion: 2\nid: 2\ndata: b\ndata: c\n\nid: 4\r\ndata: d\r\n\r\n";

  private static EventSplitter splitter(Optional<Long> last) {
    return new EventSplitter(UnpooledByteBufAllocator.DEFAULT, last);
  }

  private static String split(EventSplitter splitter, String bytes) {
    ByteBuf part = Unpooled.copiedBuffer(bytes, StandardCharsets.UTF_8);
    ByteBuf complete = splitter.split(part);
    part.release();
    String text = complete.toString(StandardCharsets.UTF_8);
    complete.release();
    return text;
  }

  @Property(tries = 200)
  void completeEventsPassWhereverTheStreamIsSplit(
      @ForAll @IntRange(max = 60) int first, @ForAll @IntRange(max = 60) int second) {
    int from = Math.min(Math.min(first, second), STREAM.length());
    int to = Math.min(Math.max(first, second), STREAM.length());
    EventSplitter splitter = splitter(Optional.empty());
    String passed =
        split(splitter, STREAM.substring(0, from))
            + split(splitter, STREAM.substring(from, to))
            + split(splitter, STREAM.substring(to));
    assertThat(passed).isEqualTo(STREAM);
    assertThat(splitter.lastEventId()).hasValue(4L);
    assertThat(splitter.holdsPartialEvent()).isFalse();
  }

  @Test
  void anIncompleteEventIsBuffered() {
    EventSplitter splitter = splitter(Optional.empty());
    assertThat(split(splitter, "id: 1\ndata: a\n\nid: 2\ndata: b\n"))
        .isEqualTo("id: 1\ndata: a\n\n");
    assertThat(splitter.lastEventId()).hasValue(1L);
    assertThat(splitter.holdsPartialEvent()).isTrue();
    splitter.release();
    assertThat(splitter.holdsPartialEvent()).isFalse();
  }

  // Guards against a stalled stream that is kept alive by what carries nothing.
  @ParameterizedTest
  @CsvSource({
    "'\n', false",
    "'\r\n\r\n', false",
    "': comment\n\n', false",
    "'id: 7\n\n', false",
    "'event: database\n\n', false",
    "'data: a\n', false",
    "'data: a\n\n', true",
    "'data\n\n', true",
    "':\n\nid: 8\r\ndata:a\r\n\r\n\n', true",
    "'id: 1\ndata: a\n\n', false"
  })
  void onlyANewEventWithDataIsProgress(String bytes, boolean isProgress) {
    EventSplitter splitter = splitter(Optional.of(2L));
    split(splitter, bytes.replace("\\n", "\n").replace("\\r", "\r"));
    assertThat(splitter.hasCompletedData()).isEqualTo(isProgress);
    splitter.release();
  }

  // Guards against copies of all that is buffered of an event with each of its parts.
  @Test
  void anEventInPartsOfOneByteIsNotCopiedWithEachPart() {
    AtomicLong allocatedBytes = new AtomicLong();
    ByteBufAllocator counting =
        new AbstractByteBufAllocator() {
          @Override
          protected ByteBuf newHeapBuffer(int initialCapacity, int maximumCapacity) {
            allocatedBytes.addAndGet(initialCapacity);
            return UnpooledByteBufAllocator.DEFAULT.heapBuffer(initialCapacity, maximumCapacity);
          }

          @Override
          protected ByteBuf newDirectBuffer(int initialCapacity, int maximumCapacity) {
            return newHeapBuffer(initialCapacity, maximumCapacity);
          }

          @Override
          public boolean isDirectBufferPooled() {
            return false;
          }
        };
    EventSplitter splitter = new EventSplitter(counting, Optional.empty());
    int length = 10_000;
    ByteBuf part = Unpooled.wrappedBuffer(new byte[] {'x'});
    for (int index = 0; index < length; index++) {
      splitter.split(part.duplicate());
    }
    assertThat(splitter.partialBytes()).isEqualTo(length);
    assertThat(allocatedBytes.get()).isAtMost(4L * length);
    splitter.release();
  }

  // Guards against the rest of a failed server's event in the search for the end of the next one.
  @Test
  void theStreamOfTheNextServerBeginsWithANewEvent() {
    EventSplitter splitter = splitter(Optional.empty());
    assertThat(split(splitter, "id: 1\ndata: a\n\nid: 2\ndata: b\n")).isNotEmpty();
    splitter.release();
    assertThat(split(splitter, "id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
  }

  @Test
  void eventsThatTheCallerAlreadyHasAreDropped() {
    EventSplitter splitter = splitter(Optional.of(2L));
    assertThat(split(splitter, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"))
        .isEqualTo("id: 3\ndata: c\n\n");
  }
}
