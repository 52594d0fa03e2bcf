package org.shallothook.transport.forward;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects those whose end could be read in two ways.
 *
 * <p>Not thread-safe: one for each connection.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
  private static final int LONGEST_LINE_BYTES = 8_192;
  private static final int LARGEST_CHUNK_BYTES = 16_384;

  StrictRequestDecoder(int largestHeadBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(LONGEST_LINE_BYTES)
            .setMaxHeaderSize(largestHeadBytes)
            .setMaxChunkSize(LARGEST_CHUNK_BYTES)
            .setStrictLineParsing(true));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding are given");
  }
}
