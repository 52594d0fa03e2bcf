package org.shallothook.transport.platform;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.shallothook.protocol.json.JsonDocument;
import org.shallothook.protocol.json.JsonError;

/**
 * Gathers the parts of an answer into one result.
 *
 * <p>Invariant: keeps no more than the allowed number of bytes. Not thread-safe.
 */
final class WholeAnswer implements HttpStreamHandler {
  private final int maximumBytes;
  private final Consumer<HttpResult> result;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private HttpExchange exchange;
  private int status;
  private String contentType = "";
  private boolean isTooLarge;

  WholeAnswer(int maximumBytes, Consumer<HttpResult> result) {
    this.maximumBytes = maximumBytes;
    this.result = result;
  }

  void setExchange(HttpExchange newExchange) {
    exchange = newExchange;
  }

  @Override
  public void started(int newStatus, String newContentType) {
    status = newStatus;
    contentType = newContentType;
  }

  @Override
  public void received(ByteBuffer part) {
    if (bytes.size() + part.remaining() > maximumBytes) {
      isTooLarge = true;
      exchange.failAfterSending("the answer is larger than " + maximumBytes + " bytes");
      return;
    }
    byte[] copy = new byte[part.remaining()];
    part.get(copy);
    bytes.writeBytes(copy);
  }

  @Override
  public void ended() {
    Either<JsonError, String> body = JsonDocument.decodeText(ByteBuffer.wrap(bytes.toByteArray()));
    result.accept(
        body.fold(
            error -> new HttpResult.Lost("the answer is not UTF-8 text", false),
            text -> new HttpResult.Answered(status, contentType, text)));
  }

  @Override
  public void failed(boolean wasSent, String detail) {
    result.accept(
        wasSent ? new HttpResult.Lost(detail, isTooLarge) : new HttpResult.NotSent(detail));
  }
}
