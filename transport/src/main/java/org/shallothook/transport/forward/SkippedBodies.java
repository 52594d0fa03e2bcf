package org.shallothook.transport.forward;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Watches the bodies of responses that a connection skips before the response to its request.
 *
 * <p>A body that was cut short takes the beginning of the next response for its rest, and may hide
 * a whole response.
 *
 * <p>Invariant: remembers a count of bytes and a position, not the bytes. Not thread-safe.
 */
final class SkippedBodies {
  /** Maximum total size of the bodies. */
  private static final long MAXIMUM_BYTES = 1 << 20;

  private static final byte[] STATUS_LINE_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  private long bytes;
  private int matched;
  private boolean containsResponse;

  /** Forgets the bodies that were skipped so far. */
  void reset() {
    bytes = 0;
    matched = 0;
    containsResponse = false;
  }

  /** Adds a part of a body. */
  void add(ByteBuf part, boolean isLast) {
    bytes += part.readableBytes();
    part.forEachByte(this::match);
    if (isLast) {
      containsResponse |= matched > 0;
      matched = 0;
    }
  }

  /** Returns whether the bodies are too large. */
  boolean isTooLarge() {
    return bytes > MAXIMUM_BYTES;
  }

  /**
   * Returns whether a body contains the beginning of another response, or ends with a part of it.
   */
  boolean containsResponse() {
    return containsResponse;
  }

  private boolean match(byte next) {
    if (next == STATUS_LINE_START[matched]) {
      matched++;
    } else {
      matched = next == STATUS_LINE_START[0] ? 1 : 0;
    }
    if (matched == STATUS_LINE_START.length) {
      containsResponse = true;
      matched = 0;
    }
    return true;
  }
}
