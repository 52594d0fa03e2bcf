package org.shallothook.transport.forward;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects those with ambiguous framing, which allows request smuggling.
 *
 * <p>Not thread-safe: each connection has its own.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
  private static final int MAXIMUM_LINE_BYTES = 8_192;
  private static final int MAXIMUM_CHUNK_BYTES = 16_384;

  StrictRequestDecoder(int maximumHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
            .setMaxHeaderSize(maximumHeaderBytes)
            .setMaxChunkSize(MAXIMUM_CHUNK_BYTES)
            .setStrictLineParsing(true));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("the request has both Content-Length and Transfer-Encoding");
  }
}
