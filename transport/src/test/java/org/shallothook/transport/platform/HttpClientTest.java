package org.shallothook.transport.platform;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.port.Counters;
import org.shallothook.transport.EventLoops;

@Timeout(60)
final class HttpClientTest {
  private static final int MAX_BODY_BYTES = 1_000;
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);

  private final EventLoops loops = EventLoops.create(1);
  private final HttpClient client =
      new HttpClient(
          loops.internal(),
          new HttpSettings(Duration.ofSeconds(5), LONG_TIMEOUT, LONG_TIMEOUT, 2, MAX_BODY_BYTES),
          Counters.NONE);
  private ScriptedServer server;

  @BeforeEach
  void start() throws Exception {
    server = new ScriptedServer();
  }

  @AfterEach
  void close() throws Exception {
    server.close();
    loops.close();
  }

  @Test
  void aWholeAnswerIsReadAndItsConnectionUsedAgain() throws Exception {
    server.then(ScriptedServer.response(200, "å")).then(ScriptedServer.response(404, ""));

    assertThat(get()).isEqualTo(new HttpResult.Answered(200, "", "å"));
    assertThat(get()).isEqualTo(new HttpResult.Answered(404, "", ""));
    assertThat(server.connections()).isEqualTo(1);
  }

  @Test
  void aCallThatMayNotBeRepeatedGetsAConnectionOfItsOwn() throws Exception {
    server.then(ScriptedServer.response(200, "")).then(ScriptedServer.response(200, ""));
    get();
    send(HttpCall.postJson(server.address(), "/", "{}", LONG_TIMEOUT));

    assertThat(server.connections()).isEqualTo(2);
  }

  @Test
  void aRefusedConnectionIsNotSent() throws Exception {
    server.refuseConnections();

    assertThat(get()).isInstanceOf(HttpResult.NotSent.class);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        ScriptedServer.CLOSE,
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc" + ScriptedServer.THEN_CLOSE,
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n"
            + ScriptedServer.THEN_CLOSE,
        "HTTP/1.1 200 OK\r\n\r\nabc" + ScriptedServer.THEN_RESET,
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabc",
        "not an HTTP response\r\n\r\n",
      })
  void anAnswerThatIsNotWholeIsLost(String step) throws Exception {
    server.then(step);

    assertThat(get()).isInstanceOf(HttpResult.Lost.class);
  }

  // Guards against an answer whose status is none, which a server in trouble sent.
  @ParameterizedTest
  @ValueSource(strings = {"000", "0", "099", "600", "999", "2000"})
  void anAnswerWithoutAValidStatusIsLost(String status) throws Exception {
    server.then("HTTP/1.1 " + status + " OK\r\ncontent-length: 3\r\n\r\nabc");

    assertThat(get()).isInstanceOf(HttpResult.Lost.class);
  }

  // Guards against a connection being used again that ended its response without a length.
  @Test
  void anAnswerThatEndsWithItsConnectionIsWholeAndTheConnectionNotUsedAgain() throws Exception {
    server
        .then("HTTP/1.1 200 OK\r\n\r\na" + ScriptedServer.THEN_CLOSE)
        .then(ScriptedServer.response(200, "b"));

    assertThat(get()).isEqualTo(new HttpResult.Answered(200, "", "a"));
    assertThat(get()).isEqualTo(new HttpResult.Answered(200, "", "b"));
    assertThat(server.connections()).isEqualTo(2);
  }

  @Test
  void anInformationalResponseIsSkipped() throws Exception {
    server.then("HTTP/1.1 100 Continue\r\n\r\n" + ScriptedServer.response(200, "a"));

    assertThat(get()).isEqualTo(new HttpResult.Answered(200, "", "a"));
  }

  @Test
  void aSilentServerIsLostAfterTheTimeout() throws Exception {
    server.then(ScriptedServer.SILENCE);
    HttpCall call = HttpCall.get(server.address(), "/", Duration.ofMillis(50));

    assertThat(send(call)).isEqualTo(new HttpResult.Lost("the request timed out", false));
  }

  @Test
  void aResponseOverTheLimitIsLostAndReportedAsTooLarge() throws Exception {
    server.then(ScriptedServer.response(200, "x".repeat(MAX_BODY_BYTES + 1)));

    assertThat(((HttpResult.Lost) get()).isTooLarge()).isTrue();
  }

  @Test
  void aHeaderThatWouldBreakTheRequestIsNotSent() throws Exception {
    Map<String, String> headers = Map.of("Idempotency-Key", "a\r\nx: y");
    HttpCall call =
        new HttpCall(
            server.address(), HttpMethod.POST, "/", headers, HttpCall.bytesOf(""), LONG_TIMEOUT);

    assertThat(send(call)).isInstanceOf(HttpResult.NotSent.class);
  }

  private HttpResult get() throws Exception {
    InetSocketAddress address = server.address();
    return send(HttpCall.get(address, "/", LONG_TIMEOUT).acceptingEarlierAnswer());
  }

  private HttpResult send(HttpCall call) throws Exception {
    CompletableFuture<HttpResult> result = new CompletableFuture<>();
    client.send(call, result::complete);
    return result.get(20, TimeUnit.SECONDS);
  }
}
