package org.shallothook.transport.caller;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.router.RouterCommand;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.request.RequestId;
import org.shallothook.transport.Addresses;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.metrics.TransportMetrics;

@Timeout(60)
final class CallerServerTest {
  private static final int MAXIMUM_BODY_BYTES = 10_000;
  private static final int MAXIMUM_PENDING_BYTES = 32_768;
  private static final String CHAT = "/v1/chat/completions";
  private static final String STREAMING_REQUEST =
      "{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hej\"}]}";
  private static final String NON_STREAMING_REQUEST = STREAMING_REQUEST.replace("true", "false");
  private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

  private final EventLoops loops = EventLoops.create(2);
  private final TransportMetrics metrics = new TransportMetrics();
  private final ScriptedRouter router = new ScriptedRouter();
  private final AtomicInteger ids = new AtomicInteger();
  private final CallerServer server =
      new CallerServer(
          new CallerSettings(
              MAXIMUM_BODY_BYTES,
              2 * MAXIMUM_BODY_BYTES,
              MAXIMUM_PENDING_BYTES,
              10,
              Duration.ofSeconds(20),
              Duration.ofSeconds(20),
              Duration.ofSeconds(20)),
          loops.callers(),
          () -> new RequestId("r-" + ids.incrementAndGet()),
          router,
          metrics,
          () -> 7_000_000);
  private final InetSocketAddress address = server.listen(Addresses.parse("127.0.0.1:0")).get();

  @AfterEach
  void close() {
    loops.close();
  }

  @Test
  void aStreamArrivesTokenByTokenAndEndsWithItsMarker() throws Exception {
    try (RawCaller caller = new RawCaller(address)) {
      RequestId id = openChat(caller, STREAMING_REQUEST);
      tokens(id, 0, "a");
      String opening = caller.readUntil("\"finish_reason\":null}]}\n\n");
      assertThat(caller.readUntil("null}]}\n\n")).contains("\"delta\":{\"content\":\"a\"}");
      assertThat(router.nextDelivered()).isEqualTo(new RouterEvent.CallerConsumed(id, 1));
      tokens(id, 1, "b");
      server.carryOut(new RouterCommand.CompleteAnswer(id, 2, "stop", 5));
      String rest = caller.readUntil(LAST_CHUNK);

      assertThat(opening).contains("shallothook-request-id: " + id.value());
      assertThat(opening).contains("\"role\":\"assistant\"");
      assertThat(rest).contains("\"finish_reason\":\"stop\"");
      assertThat(rest).contains("data: [DONE]\n\n");
    }
  }

  @Test
  void aStreamThatFailsEndsWithAnErrorEventAndNoMarker() throws Exception {
    try (RawCaller caller = new RawCaller(address)) {
      RequestId id = openChat(caller, STREAMING_REQUEST);
      tokens(id, 0, "a");
      Refusal refusal =
          new Refusal(RefusalReason.ENGINE_LOST, "", Outcome.UNKNOWN, Optional.empty());
      server.carryOut(new RouterCommand.Refuse(id, refusal));
      String all = caller.readUntil(LAST_CHUNK);

      assertThat(all).contains("event: error\ndata: {\"error\":{\"code\":\"engine-lost\"");
      assertThat(all).doesNotContain("[DONE]");
    }
  }

  @Test
  void aNonStreamingResponseIsOneBodyAndTheConnectionIsKeptOpen() throws Exception {
    try (RawCaller caller = new RawCaller(address)) {
      for (int round = 0; round < 2; round++) {
        RequestId id = openChat(caller, NON_STREAMING_REQUEST);
        tokens(id, 0, "a");
        tokens(id, 1, "b");
        server.carryOut(new RouterCommand.CompleteAnswer(id, 2, "length", 0));

        assertThat(caller.readUntil("\"cached_tokens\":0}}}")).contains("\"content\":\"ab\"");
      }
    }
  }

  @Test
  void responsesToPipelinedRequestsKeepTheirOrder() throws Exception {
    try (RawCaller caller = new RawCaller(address)) {
      String get = "GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n";
      caller.send(get + get + "GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n");
      for (int request = 1; request <= 2; request++) {
        RequestId id = ((RouterEvent.ModelsRequested) router.nextRequest()).request();
        server.carryOut(new RouterCommand.AnswerModels(id, List.of("m" + request)));

        assertThat(caller.readUntil("]}")).contains("\"id\":\"m" + request + "\"");
      }
      assertThat(caller.readUntil("}}")).startsWith("HTTP/1.1 404 ");
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "GET|/v1/chat/completions||404|not-found",
        "POST|/v1/services/bookings||404|not-found",
        "PUT|/v1/services/bookings/book||404|not-found",
      })
  void aRequestToAnUnknownPathIsRefusedAsNotRun(
      String method, String path, String body, int status, String code) throws Exception {
    String text = body == null ? "" : body;
    try (RawCaller caller = new RawCaller(address)) {
      caller.send(
          method
              + " "
              + path
              + " HTTP/1.1\r\ncontent-length: "
              + text.length()
              + "\r\n\r\n"
              + text);
      String answer = caller.readUntil("}}");

      assertThat(answer).startsWith("HTTP/1.1 " + status + " ");
      assertThat(answer).contains("shallothook-outcome: not-run\r\n");
      assertThat(answer).contains("{\"error\":{\"code\":\"" + code + "\",\"message\":\"");
      assertThat(metrics.count("refusals." + code)).isEqualTo(1);
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "/v1/chat/completions|{|Bearer k|k",
        "/v1/chat/completions|{}|Bearer k|k",
        "/v1/chat/completions|{}|Basic k|''",
        "/v1/services/bookings/book|\u00ff\u00fe|Bearer k|k",
      })
  void anUnreadableBodyIsRefusedOnlyAfterTheKeyCheck(
      String path, String body, String authorization, String key) throws Exception {
    try (RawCaller caller = new RawCaller(address)) {
      String head = "POST " + path + " HTTP/1.1\r\nauthorization: " + authorization;
      caller.sendLatin1(head + "\r\ncontent-length: " + body.length() + "\r\n\r\n" + body);
      RouterEvent.MalformedRequested event = (RouterEvent.MalformedRequested) router.nextRequest();
      Refusal unknown = Refusal.notRun(RefusalReason.UNKNOWN_KEY, "unknown");
      server.carryOut(new RouterCommand.Refuse(event.request(), unknown));
      String answer = caller.readUntil("}}");

      assertThat(event.key()).isEqualTo(key);
      assertThat(event.refusal().reason()).isEqualTo(RefusalReason.MALFORMED_REQUEST);
      assertThat(event.refusal().outcome()).isEqualTo(Outcome.NOT_RUN);
      assertThat(answer).startsWith("HTTP/1.1 401 ");
      assertThat(answer).contains("shallothook-outcome: not-run\r\n");
      assertThat(answer).doesNotContain("malformed");
    }
  }

  @ParameterizedTest
  @CsvSource({
    "'authorization: Bearer k\r\ncontent-length: 10001\r\n\r\n',413,body-too-large",
    "'authorization: Bearer k\r\ntransfer-encoding: chunked\r\n\r\n2711\r\n',413,body-too-large",
    "'content-length: 10001\r\n\r\n',401,unknown-key",
    "'transfer-encoding: chunked\r\n\r\n2711\r\n',401,unknown-key",
  })
  void aBodyOverTheLimitIsRefusedAndTheRestIsReadSoThatTheResponseArrives(
      String head, int status, String code) throws Exception {
    try (RawCaller caller = new RawCaller(address)) {
      caller.send("POST " + CHAT + " HTTP/1.1\r\n" + head + "x".repeat(MAXIMUM_BODY_BYTES + 1));
      caller.send(head.contains("chunked") ? "\r\n0\r\n\r\n" : "");
      String answer = caller.readToEnd();

      assertThat(answer).startsWith("HTTP/1.1 " + status + " ");
      assertThat(answer).contains("\"code\":\"" + code + "\"");
      assertThat(answer).doesNotContain("(reset)");
    }
  }

  @Test
  void incompleteBodiesShareABoundedAmountOfMemory() throws Exception {
    String head =
        "POST " + CHAT + " HTTP/1.1\r\ncontent-length: " + MAXIMUM_BODY_BYTES + "\r\n\r\n";
    String part = head + "x".repeat(MAXIMUM_BODY_BYTES - 1);
    RawCaller first = new RawCaller(address);
    RawCaller second = new RawCaller(address);
    try (RawCaller third = new RawCaller(address)) {
      first.send(part);
      second.send(part);
      third.send(part);
      while (metrics.count("refusals.router-overloaded") == 0) {
        Thread.onSpinWait();
      }
      third.send("x");
      second.send("x");
      first.send("x");
      for (int whole = 0; whole < 2; whole++) {
        RouterEvent.MalformedRequested event =
            (RouterEvent.MalformedRequested) router.nextRequest();
        server.carryOut(new RouterCommand.Refuse(event.request(), event.refusal()));
      }
      String answers = third.readUntil("}}") + second.readUntil("}}") + first.readUntil("}}");

      assertThat(answers).contains("\"code\":\"router-overloaded\"");
      assertThat(answers).contains("\"code\":\"malformed-request\"");
    }
    first.close();
    second.close();
    try (RawCaller later = new RawCaller(address)) {
      assertThat(openChat(later, STREAMING_REQUEST)).isNotNull();
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "POST /v1/chat/completions HTTP/1.1\r\ncontent-length: abc\r\n\r\n",
        "POST /v1/chat/completions HTTP/1.1\r\ncontent-length: -1\r\n\r\n",
        "POST /v1/chat/completions HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        "POST /v1/chat/completions HTTP/1.1\r\nx: \u0000\r\n\r\n",
        "POST /v1/chat/completions HTTP/9.9.9\r\n\r\n",
        "GET \u0000\r\n\r\n",
        "\r\n\r\n\r\n\r\nX\r\n\r\n",
      })
  void aMalformedHeadClosesOnlyItsOwnConnection(String bytes) throws Exception {
    try (RawCaller caller = new RawCaller(address);
        RawCaller other = new RawCaller(address)) {
      caller.send(bytes);

      assertThat(caller.readToEnd()).startsWith("HTTP/1.1 400 ");
      assertThat(openChat(other, STREAMING_REQUEST)).isNotNull();
    }
  }

  @Test
  void bytesThatAreNotHttpAreRefused() throws Exception {
    try (RawCaller caller = new RawCaller(address)) {
      caller.send("\u0001\u0002 nothing\r\n\r\n");

      assertThat(caller.readToEnd()).startsWith("HTTP/1.1 400 ");
    }
  }

  @Test
  void aFullRingIsARefusalWithARetryTime() throws Exception {
    router.setFull(true);
    try (RawCaller caller = new RawCaller(address)) {
      caller.post(CHAT, STREAMING_REQUEST);
      String answer = caller.readUntil("}}");

      assertThat(answer).startsWith("HTTP/1.1 503 ");
      assertThat(answer).contains("retry-after: 1\r\n");
      assertThat(answer).contains("\"code\":\"router-overloaded\"");
      assertThat(server.openRequests()).isEqualTo(0);
    }
  }

  @Test
  void aServiceCallReturnsTheResponseOfTheService() throws Exception {
    try (RawCaller caller = new RawCaller(address)) {
      caller.send(
          "POST /v1/services/bookings/book HTTP/1.1\r\nauthorization: Bearer k\r\n"
              + "Idempotency-Key: i\r\ncontent-type: text/plain\r\ncontent-length: 2\r\n\r\nhi");
      RouterEvent.CallRequested call = (RouterEvent.CallRequested) router.nextRequest();
      server.carryOut(
          new RouterCommand.AnswerCall(call.request(), 409, "text/x\r\nbad: 1", "taken"));
      String answer = caller.readUntil("taken");

      assertThat(call)
          .isEqualTo(
              new RouterEvent.CallRequested(
                  call.request(), "k", "bookings", "book", Optional.of("i"), "text/plain", "hi"));
      assertThat(answer).startsWith("HTTP/1.1 409 ");
      assertThat(answer).contains("shallothook-outcome: done");
      assertThat(answer).doesNotContain("bad: 1");
    }
  }

  @Test
  void aCallerThatDisconnectsIsReported() throws Exception {
    RawCaller caller = new RawCaller(address);
    RequestId id = openChat(caller, STREAMING_REQUEST);
    caller.close();

    assertThat(router.nextDelivered()).isEqualTo(new RouterEvent.CallerGone(id));
    assertThat(server.openRequests()).isEqualTo(0);
  }

  @Test
  void aCallerThatStopsReadingIsReportedUpToWhatItReadAndUsesBoundedMemory() throws Exception {
    try (RawCaller caller = new RawCaller(address)) {
      RequestId id = openChat(caller, STREAMING_REQUEST);
      int sent = 20_000;
      for (int token = 0; token < sent; token++) {
        tokens(id, token, "x".repeat(1_000));
      }
      RouterEvent last = router.nextDelivered();
      while (last instanceof RouterEvent.CallerConsumed consumed) {
        assertThat(consumed.position()).isLessThan(sent);
        last = router.nextDelivered();
      }

      assertThat(last).isEqualTo(new RouterEvent.CallerGone(id));
      assertThat(metrics.count("caller.write-buffer-full")).isEqualTo(1);
    }
  }

  @Test
  void tokensOutOfOrderAreNeverWritten() throws Exception {
    try (RawCaller caller = new RawCaller(address)) {
      RequestId id = openChat(caller, STREAMING_REQUEST);
      tokens(id, 0, "a");
      tokens(id, 2, "c");
      String all = caller.readToEnd();

      assertThat(all).doesNotContain("\"c\"");
      assertThat(all).doesNotContain("[DONE]");
    }
  }

  @Test
  void anAnswerThatLacksTokensDoesNotEndAsComplete() throws Exception {
    try (RawCaller caller = new RawCaller(address)) {
      RequestId id = openChat(caller, STREAMING_REQUEST);
      tokens(id, 0, "a");
      server.carryOut(new RouterCommand.CompleteAnswer(id, 2, "stop", 0));

      assertThat(caller.readToEnd()).doesNotContain("[DONE]");
    }
  }

  @Test
  void closingLetsRunningStreamsFinishAndClosesIdleConnections() throws Exception {
    try (RawCaller running = new RawCaller(address);
        RawCaller unused = new RawCaller(address)) {
      RequestId id = openChat(running, STREAMING_REQUEST);
      tokens(id, 0, "a");
      running.readUntil("\"a\"}");
      CompletableFuture<Void> closed = server.close();
      assertThat(unused.readToEnd()).isEmpty();
      assertThat(closed.isDone()).isFalse();
      tokens(id, 1, "b");
      server.carryOut(new RouterCommand.CompleteAnswer(id, 2, "stop", 0));

      assertThat(running.readToEnd()).endsWith("data: [DONE]\n\n" + LAST_CHUNK);
      closed.get(20, TimeUnit.SECONDS);
    }
  }

  /** Guards against closing a connection over a request that is queued behind an open stream. */
  @Test
  void aRequestQueuedBehindAStreamIsAnsweredAlthoughTheServerCloses() throws Exception {
    try (RawCaller caller = new RawCaller(address)) {
      RequestId first = openChat(caller, STREAMING_REQUEST);
      tokens(first, 0, "a");
      caller.readUntil("\"a\"}");
      caller.post(CHAT, NON_STREAMING_REQUEST);
      server.drain();
      server.carryOut(new RouterCommand.CompleteAnswer(first, 1, "stop", 0));
      RequestId second = ((RouterEvent.ChatRequested) router.nextRequest()).request();
      CompletableFuture<Void> closed = server.close();
      server.carryOut(
          new RouterCommand.Refuse(second, Refusal.notRun(RefusalReason.ROUTER_LEAVING, "")));

      assertThat(caller.readToEnd()).contains("HTTP/1.1 503");
      closed.get(20, TimeUnit.SECONDS);
    }
  }

  /** Guards against closing a connection over an open response for what is behind its request. */
  @ParameterizedTest
  @ValueSource(
      strings = {"no request\r\n\r\n", "POST /v1/x HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n"})
  void aStreamIsCompletedAlthoughWhatIsBehindItIsRefused(String behind) throws Exception {
    try (RawCaller caller = new RawCaller(address)) {
      RequestId first = openChat(caller, STREAMING_REQUEST);
      tokens(first, 0, "a");
      caller.readUntil("\"a\"}");
      caller.send(behind);
      TimeUnit.MILLISECONDS.sleep(100);
      server.carryOut(new RouterCommand.CompleteAnswer(first, 1, "stop", 0));
      String rest = caller.readToEnd();

      assertThat(rest).contains("data: [DONE]\n\n" + LAST_CHUNK + "HTTP/1.1 4");
    }
  }

  private RequestId openChat(RawCaller caller, String body) throws Exception {
    caller.post(CHAT, body);
    return ((RouterEvent.ChatRequested) router.nextRequest()).request();
  }

  private void tokens(RequestId id, int position, String text) {
    server.carryOut(new RouterCommand.SendTokens(id, position, 1, text));
  }
}
