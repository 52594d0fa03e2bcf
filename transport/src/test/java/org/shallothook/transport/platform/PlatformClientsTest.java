package org.shallothook.transport.platform;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.RequestId;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.metrics.TransportMetrics;

@Timeout(60)
final class PlatformClientsTest {
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);
  private static final AttemptId ATTEMPT = new AttemptId(new RequestId("r-1"), 2);
  private static final String TOKENS = "data: {\"position\":0,\"count\":2,\"text\":\"ab\"}\n\n";
  private static final String FINISH =
      "data: {\"finish_reason\":\"stop\",\"position\":2,\"cached_blocks\":1}\n\n";
  private static final String DONE = "data: [DONE]\n\n";

  private final EventLoops loops = EventLoops.create(1);
  private final HttpClient http =
      new HttpClient(loops.internal(), HttpSettings.DEFAULT, Counters.NONE);
  private final BlockingQueue<Object> events = new LinkedBlockingQueue<>();
  private ScriptedServer server;
  private LogClient log;
  private EngineClient engine;
  private ServiceClient service;

  @BeforeEach
  void start() throws Exception {
    server = new ScriptedServer();
    log =
        new LogClient(http, server.address(), LONG_TIMEOUT, new Recorder(), new TransportMetrics());
    EngineClientSettings settings =
        new EngineClientSettings(
            server.address(), "127.0.0.1:1", 4_000, LONG_TIMEOUT, LONG_TIMEOUT, LONG_TIMEOUT);
    engine = new EngineClient(http, settings, events::add);
    service = new ServiceClient(http, server.address(), LONG_TIMEOUT, LONG_TIMEOUT, events::add);
  }

  @AfterEach
  void close() throws Exception {
    server.close();
    loops.close();
  }

  @ParameterizedTest
  @CsvSource({
    "200,'{\"offset\":17}',appended 17",
    "503,'',failed false",
    "400,'',failed false",
    "500,'',failed true",
    "200,'{}',failed true",
  })
  void anAppendReportsWhetherItMayHaveTakenEffect(int status, String body, String expected)
      throws Exception {
    server.then(ScriptedServer.response(status, body));
    log.append(1, "leases", "x");

    assertThat(next()).isEqualTo(expected);
    assertThat(server.nextRequest()).isEqualTo("POST /streams/leases/records HTTP/1.1\nx");
  }

  @Test
  void anAppendWhoseAnswerIsLostMayHaveTakenEffect() throws Exception {
    server.then(ScriptedServer.CLOSE);
    log.append(1, "leases", "x");

    assertThat(next()).isEqualTo("failed true");
  }

  @Test
  void anAppendToALogThatIsDownHasNoEffect() throws Exception {
    server.refuseConnections();
    log.append(1, "leases", "x");

    assertThat(next()).isEqualTo("failed false");
  }

  @Test
  void aPageOfAnotherStreamIsNotTaken() throws Exception {
    server.then(
        ScriptedServer.response(
            200, "{\"stream\":\"claims-0\",\"first\":0,\"end\":0,\"records\":[]}"));
    log.read("leases", 4);

    assertThat(next()).isEqualTo("read failed leases");
    assertThat(server.nextRequest())
        .isEqualTo("GET /streams/leases/records?from=4&max=256 HTTP/1.1\n");
  }

  @Test
  void aPageThatIsTooLargeIsRequestedInParts() throws Exception {
    int limit = HttpSettings.DEFAULT.maximumResponseBytes();
    server
        .then(
            "HTTP/1.1 200 OK\r\ncontent-length: "
                + (limit + 1)
                + "\r\n\r\n"
                + "x".repeat(limit + 1))
        .then(
            ScriptedServer.response(
                200, "{\"stream\":\"leases\",\"first\":0,\"end\":4,\"records\":[]}"));
    log.read("leases", 4);

    assertThat(next()).isEqualTo(new LogPage("leases", 0, 4, List.of()));
    server.nextRequest();
    assertThat(server.nextRequest()).contains("max=128");
  }

  @Test
  void aWholeAnswerEndsOnlyAfterItsEndMarker() throws Exception {
    server.then(ScriptedServer.stream(TOKENS + FINISH + DONE));
    engine.start(startCommand());

    assertThat(next()).isEqualTo(new SidecarEvent.EngineTokens(ATTEMPT, 0, 2, "ab"));
    assertThat(next()).isEqualTo(new SidecarEvent.EngineEnded(ATTEMPT, 2, "stop", 1));
    assertThat(server.nextRequest()).contains("\"request_id\":\"r-1.2\"");
  }

  static Stream<Arguments> brokenStreams() {
    return Stream.of(
        Arguments.of(ScriptedServer.stream(""), true),
        Arguments.of(ScriptedServer.stream(FINISH), true),
        Arguments.of(ScriptedServer.stream(DONE), true),
        Arguments.of(ScriptedServer.stream("data: {broken\n\n" + FINISH + DONE), true),
        Arguments.of(ScriptedServer.CLOSE, true),
        Arguments.of(ScriptedServer.response(500, ""), true),
        Arguments.of(ScriptedServer.response(503, ""), false),
        Arguments.of(ScriptedServer.response(409, ""), false));
  }

  @ParameterizedTest
  @MethodSource("brokenStreams")
  void anAnswerWithoutItsEndMarkerHasFailed(String step, boolean hasReachedEngine)
      throws Exception {
    server.then(step);
    engine.start(startCommand());

    SidecarEvent.EngineFailed failed = (SidecarEvent.EngineFailed) next();
    assertThat(failed.attempt()).isEqualTo(ATTEMPT);
    assertThat(failed.hasReachedEngine()).isEqualTo(hasReachedEngine);
  }

  @Test
  void aCancelledCompletionClosesItsConnectionAndEmitsNoMoreEvents() throws Exception {
    server.then("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n" + TOKENS);
    engine.start(startCommand());
    next();
    server.then(ScriptedServer.response(204, ""));
    engine.cancel(ATTEMPT);
    server.nextRequest();

    assertThat(server.nextRequest()).startsWith("DELETE /v1/completions/r-1.2 ");
    server.then(ScriptedServer.response(200, "{\"incarnation\":\"x\",\"leaving\":true}"));
    service.readStatus();
    assertThat(next()).isEqualTo(new SidecarEvent.EngineStatus("x", List.of(), 0, 0, -1, true));
  }

  @Test
  void aServiceCallPassesKeyAndFencingNumberAndKeepsTheAnswer() throws Exception {
    server.then(ScriptedServer.response(412, "older"));
    service.call(callCommand());

    assertThat(next()).isEqualTo(new SidecarEvent.ServiceAnswered(ATTEMPT, 412, "", "older"));
    assertThat(server.nextRequest()).isEqualTo("POST /book HTTP/1.1\n{}");
  }

  @Test
  void aServiceCallWithoutAResponseReportsWhetherItWasSent() throws Exception {
    server.then(ScriptedServer.CLOSE);
    service.call(callCommand());
    assertThat(next()).isEqualTo(new SidecarEvent.ServiceFailed(ATTEMPT, true));
    server.refuseConnections();
    service.call(callCommand());

    assertThat(next()).isEqualTo(new SidecarEvent.ServiceFailed(ATTEMPT, false));
  }

  private Object next() throws InterruptedException {
    return events.poll(20, TimeUnit.SECONDS);
  }

  private static SidecarCommand.CallService callCommand() {
    return new SidecarCommand.CallService(
        ATTEMPT, "book", Optional.of("k"), Optional.of(7L), "application/json", "{}");
  }

  private static SidecarCommand.StartAnswer startCommand() {
    CacheIdentity identity = new CacheIdentity("team", ModelVersion.of("m", "1"));
    return new SidecarCommand.StartAnswer(
        ATTEMPT, identity, PriorityClass.ORDINARY, List.of(), "prompt", "", 0, 10);
  }

  /** Adds a description of each log result to the queue. */
  private final class Recorder implements LogListener {
    @Override
    public void logRead(LogPage page) {
      events.add(page);
    }

    @Override
    public void logReadFailed(String stream) {
      events.add("read failed " + stream);
    }

    @Override
    public void logAppended(long token, long offset) {
      events.add("appended " + offset);
    }

    @Override
    public void logAppendFailed(long token, boolean mayHaveTakenEffect) {
      events.add("failed " + mayHaveTakenEffect);
    }
  }
}
