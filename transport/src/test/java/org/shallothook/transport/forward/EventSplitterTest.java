package org.shallothook.transport.forward;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

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

  @Test
  void eventsThatTheCallerAlreadyHasAreDropped() {
    EventSplitter splitter = splitter(Optional.of(2L));
    assertThat(split(splitter, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"))
        .isEqualTo("id: 3\ndata: c\n\n");
  }
}
