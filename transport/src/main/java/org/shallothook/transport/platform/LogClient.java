package org.shallothook.transport.platform;

import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.shallothook.coordination.port.Counters;
import org.shallothook.protocol.json.JsonError;
import org.shallothook.protocol.platform.LogForm;
import org.shallothook.transport.logging.LogComponent;

/**
 * Reads and appends records of the platform's log.
 *
 * <p>Invariant: each read and each append is answered by exactly one call of the listener; an
 * append is said to have failed without effect only where the log cannot have taken it.
 * Thread-safe.
 */
public final class LogClient {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final int FIRST_CLIENT_ERROR = 400;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int LARGEST_PAGE = 256;

  private final HttpClient client;
  private final InetSocketAddress address;
  private final Duration timeout;
  private final LogListener listener;
  private final Counters counters;

  /**
   * Creates a client.
   *
   * @param client sends the calls
   * @param address address of the log
   * @param timeout longest wait for an answer
   * @param listener takes the answers
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

  /** Reads a stream from an offset on. */
  public void read(String stream, long fromOffset) {
    read(stream, fromOffset, LARGEST_PAGE);
  }

  /** Appends a record; the answer repeats the token. */
  public void append(long token, String stream, String payload) {
    Map<String, String> headers = Map.of("content-type", "text/plain; charset=utf-8");
    HttpCall call =
        new HttpCall(
            address,
            HttpMethod.POST,
            path(stream),
            headers,
            HttpCall.bytesOf(payload),
            timeout,
            false);
    client.send(call, result -> appended(token, result));
  }

  private void read(String stream, long fromOffset, int page) {
    String uri = path(stream) + "?from=" + fromOffset + "&max=" + page;
    client.send(
        HttpCall.get(address, uri, timeout), result -> wasRead(stream, fromOffset, page, result));
  }

  private void wasRead(String stream, long fromOffset, int page, HttpResult result) {
    if (result instanceof HttpResult.Answered answer && answer.status() == OK) {
      LogForm.page(answer.body())
          .filterOrElse(
              read -> read.stream().equals(stream),
              read -> new JsonError.WrongType("stream", "'" + stream + "'"))
          .peek(listener::logRead)
          .peekLeft(error -> readFailed(stream, error.message()));
    } else if (result instanceof HttpResult.Lost lost && lost.isTooLarge() && page > 1) {
      // A few large records must not keep the others from being read.
      read(stream, fromOffset, page / 2);
    } else {
      readFailed(stream, result.toString());
    }
  }

  private void readFailed(String stream, String detail) {
    counters.increment("log.read-failed");
    LogComponent.PLATFORM.debug("A read of '{}' failed: {}.", stream, detail);
    listener.logReadFailed(stream);
  }

  private void appended(long token, HttpResult result) {
    if (result instanceof HttpResult.Answered answer && answer.status() == OK) {
      LogForm.appendedOffset(answer.body())
          .peek(offset -> listener.logAppended(token, offset))
          .peekLeft(error -> appendFailed(token, true, error.message()));
    } else {
      appendFailed(token, mayHaveTakenEffect(result), result.toString());
    }
  }

  private void appendFailed(long token, boolean mayHaveTakenEffect, String detail) {
    counters.increment(mayHaveTakenEffect ? "log.append-unknown" : "log.append-failed");
    LogComponent.PLATFORM.debug("An append failed: {}.", detail);
    listener.logAppendFailed(token, mayHaveTakenEffect);
  }

  private static boolean mayHaveTakenEffect(HttpResult result) {
    if (result instanceof HttpResult.Answered answer) {
      boolean isRefused =
          answer.status() == UNAVAILABLE
              || (answer.status() >= FIRST_CLIENT_ERROR && answer.status() < FIRST_SERVER_ERROR);
      return !isRefused;
    }
    return result instanceof HttpResult.Lost;
  }

  private static String path(String stream) {
    return "/streams/" + URLEncoder.encode(stream, StandardCharsets.UTF_8) + "/records";
  }
}
