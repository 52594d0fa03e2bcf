package org.shallothook.transport.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Decodes responses of servers and rejects those that another reader may understand differently,
 * and those whose head begins with what is left of another one.
 *
 * <p>Not thread-safe: each connection has its own.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
  /** The requests that a connection carries. */
  interface Requests {
    /** Returns whether a request waits for a response. */
    boolean isResponseDue();

    /** Returns whether the requests are HEAD requests, whose responses have no body. */
    boolean areHeads();

    /** Called when a part of a response has arrived although no request waits for one. */
    void onSurplusBytes();
  }

  private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");

  /** A status with which a response may begin: a known interim one, but not 101, or a final one. */
  private static final Pattern STATUS = Pattern.compile("10[023]|[2-5]\\d\\d");

  /** A status line inside a head: the one before it was cut short. */
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d\\d\\d");

  private final Requests requests;

  StrictResponseDecoder(Requests requests) {
    this.requests = requests;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out)
      throws Exception {
    boolean isSurplus = bytes.isReadable() && !requests.isResponseDue();
    super.decode(context, bytes, out);
    if (isSurplus && out.isEmpty()) {
      requests.onSurplusBytes();
    }
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    require(VERSION.matcher(initialLine[0]).matches(), "HTTP version");
    require(STATUS.matcher(initialLine[1]).matches(), "status");
    requireNoStatusLine(initialLine[2]);
    return super.createMessage(initialLine);
  }

  /** Called once for each head. */
  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage response) {
    HttpHeaders headers = response.headers();
    for (Map.Entry<String, String> header : headers) {
      requireNoStatusLine(header.getValue());
    }
    List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean isChunked =
        encodings.size() == 1
            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0).trim())
            && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)
            && response.protocolVersion().equals(HttpVersion.HTTP_1_1);
    require(encodings.isEmpty() || isChunked, "Transfer-Encoding");
    return requests.areHeads() || super.isContentAlwaysEmpty(response);
  }

  private static void requireNoStatusLine(String text) {
    require(!text.contains("HTTP/1.") || !STATUS_LINE.matcher(text).find(), "head");
  }

  private static void require(boolean isValid, String part) {
    if (!isValid) {
      throw new IllegalArgumentException("the " + part + " of the response is not valid");
    }
  }
}
