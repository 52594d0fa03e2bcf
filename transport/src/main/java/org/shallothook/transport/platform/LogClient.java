package org.shallothook.transport.platform;

import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.shallothook.coordination.port.Counters;
import org.shallothook.protocol.json.JsonError;
import org.shallothook.protocol.platform.LogResponseParser;
import org.shallothook.transport.logging.LogComponent;

/**
 * Reads and appends records of the platform's log.
 *
 * <p>Invariant: each read and each append leads to exactly one call of the listener. An append is
 * reported as failed without effect only if the log can't have stored the record. Thread-safe.
 */
public final class LogClient {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final int FIRST_CLIENT_ERROR = 400;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int MAX_PAGE_RECORDS = 256;

  private final HttpClient client;
  private final InetSocketAddress address;
  private final Duration timeout;
  private final LogListener listener;
  private final Counters counters;

  /**
   * Creates a client.
   *
   * @param client sends the requests
   * @param address address of the log service
   * @param timeout timeout of a request
   * @param listener receives the results
   * @param counters counts failures
   */
  public LogClient(
      HttpClient client,
      InetSocketAddress address,
      Duration timeout,
      LogListener listener,
      Counters counters) {
    this.client = client;
    this.address = address;
    this.timeout = timeout;
    this.listener = listener;
    this.counters = counters;
  }

  /** Reads a page of a stream from an offset on. */
  public void read(String stream, long fromOffset) {
    read(stream, fromOffset, MAX_PAGE_RECORDS);
  }

  /** Appends a record; the token identifies the append in the listener's result. */
  public void append(long token, String stream, String payload) {
    Map<String, String> headers = Map.of("content-type", "text/plain; charset=utf-8");
    HttpCall call =
        new HttpCall(
            address, HttpMethod.POST, path(stream), headers, HttpCall.bytesOf(payload), timeout);
    client.send(call, result -> appended(token, result));
  }

  private void read(String stream, long fromOffset, int maximumRecords) {
    String uri = path(stream) + "?from=" + fromOffset + "&max=" + maximumRecords;
    client.send(
        HttpCall.get(address, uri, timeout),
        result -> wasRead(stream, fromOffset, maximumRecords, result));
  }

  private void wasRead(String stream, long fromOffset, int maximumRecords, HttpResult result) {
    if (result instanceof HttpResult.Answered response && response.status() == OK) {
      LogResponseParser.page(response.body())
          .filterOrElse(
              page -> page.stream().equals(stream),
              page -> new JsonError.WrongType("stream", "'" + stream + "'"))
          .peek(listener::logRead)
          .peekLeft(error -> readFailed(stream, error.message()));
    } else if (result instanceof HttpResult.Lost lost && lost.isTooLarge() && maximumRecords > 1) {
      // A page with a few large records can exceed the response limit; smaller pages get past them.
      read(stream, fromOffset, maximumRecords / 2);
    } else {
      readFailed(stream, result.toString());
    }
  }

  private void readFailed(String stream, String detail) {
    counters.increment("log.read-failed");
    LogComponent.PLATFORM.debug("Reading the stream '{}' failed: {}.", stream, detail);
    listener.logReadFailed(stream);
  }

  private void appended(long token, HttpResult result) {
    if (result instanceof HttpResult.Answered response && response.status() == OK) {
      LogResponseParser.appendedOffset(response.body())
          .peek(offset -> listener.logAppended(token, offset))
          .peekLeft(error -> appendFailed(token, true, error.message()));
    } else {
      appendFailed(token, mayHaveTakenEffect(result), result.toString());
    }
  }

  private void appendFailed(long token, boolean mayHaveTakenEffect, String detail) {
    counters.increment(mayHaveTakenEffect ? "log.append-unknown" : "log.append-failed");
    LogComponent.PLATFORM.debug("Appending a record failed: {}.", detail);
    listener.logAppendFailed(token, mayHaveTakenEffect);
  }

  private static boolean mayHaveTakenEffect(HttpResult result) {
    if (result instanceof HttpResult.Answered response) {
      boolean isRefused =
          response.status() == UNAVAILABLE
              || (response.status() >= FIRST_CLIENT_ERROR
                  && response.status() < FIRST_SERVER_ERROR);
      return !isRefused;
    }
    return result instanceof HttpResult.Lost;
  }

  private static String path(String stream) {
    return "/streams/" + URLEncoder.encode(stream, StandardCharsets.UTF_8) + "/records";
  }
}
