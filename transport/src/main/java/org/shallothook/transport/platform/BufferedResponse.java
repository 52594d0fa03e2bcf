package org.shallothook.transport.platform;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Consumer;
import org.shallothook.protocol.json.JsonDocument;
import org.shallothook.protocol.json.JsonError;

/**
 * Buffers the body of a response and reports it as one result.
 *
 * <p>Invariant: buffers no more than the maximum number of bytes. Not thread-safe.
 */
final class BufferedResponse implements HttpStreamHandler, ResponseBuffers.Owner {
  private final int maximumBytes;
  private final ResponseBuffers buffers;
  private final Consumer<HttpResult> result;
  private final boolean isBinary;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private HttpExchange exchange;
  private int status;
  private String contentType = "";
  private Optional<String> header = Optional.empty();
  private boolean isTooLarge;

  BufferedResponse(int maximumBytes, ResponseBuffers buffers, Consumer<HttpResult> result) {
    this(maximumBytes, buffers, result, false);
  }

  private BufferedResponse(
      int maximumBytes, ResponseBuffers buffers, Consumer<HttpResult> result, boolean isBinary) {
    this.maximumBytes = maximumBytes;
    this.buffers = buffers;
    this.result = result;
    this.isBinary = isBinary;
  }

  /** Returns a handler whose result has the body as bytes instead of text. */
  static BufferedResponse ofBytes(
      int maximumBytes, ResponseBuffers buffers, Consumer<HttpResult> result) {
    return new BufferedResponse(maximumBytes, buffers, result, true);
  }

  void setExchange(HttpExchange newExchange) {
    exchange = newExchange;
  }

  @Override
  public void started(int newStatus, HttpHeaders headers) {
    status = newStatus;
    contentType = headers.get(HttpHeaderNames.CONTENT_TYPE, "");
    header = exchange.call().responseHeader().map(headers::get);
  }

  @Override
  public void received(ByteBuffer part) {
    if (bytes.size() + part.remaining() > maximumBytes) {
      isTooLarge = true;
      exchange.failAfterSending("the response is larger than " + maximumBytes + " bytes");
      return;
    }
    if (!buffers.add(this, part.remaining())) {
      return;
    }
    byte[] copy = new byte[part.remaining()];
    part.get(copy);
    bytes.writeBytes(copy);
  }

  @Override
  public void failForMemory() {
    exchange.failAfterSending("the memory for responses is used up");
  }

  @Override
  public void ended() {
    buffers.remove(this);
    if (isBinary) {
      ByteBuffer body = ByteBuffer.wrap(bytes.toByteArray()).asReadOnlyBuffer();
      result.accept(new HttpResult.AnsweredBytes(status, body, header));
      return;
    }
    Either<JsonError, String> body = JsonDocument.decodeText(ByteBuffer.wrap(bytes.toByteArray()));
    result.accept(
        body.fold(
            error -> new HttpResult.Lost("the response is not UTF-8 text", false),
            text -> new HttpResult.Answered(status, contentType, text, header)));
  }

  @Override
  public void failed(boolean wasSent, String detail) {
    buffers.remove(this);
    result.accept(
        wasSent ? new HttpResult.Lost(detail, isTooLarge) : new HttpResult.NotSent(detail));
  }
}
