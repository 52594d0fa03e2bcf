package org.shallothook.transport.forward;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.forward.Dispatch;
import org.shallothook.coordination.forward.ForwardCommand;
import org.shallothook.coordination.forward.ForwardEvent;
import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.Decision;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.process.Clock;

/** Forwards requests and responses over sockets, with servers that violate the protocol. */
final class ForwardTransportTest implements OpenEventSink {
  private static final int TIMEOUT_MILLIS = 10_000;
  private final EventLoops loops = EventLoops.create(1);
  private final List<ForwardEvent> events = new CopyOnWriteArrayList<>();
  private final List<List<Object>> decisions = new CopyOnWriteArrayList<>();
  private final CountDownLatch callerGoneReported = new CountDownLatch(1);
  private final CountDownLatch serverChecked = new CountDownLatch(1);

  /** Offset of the clock, as if the process had been paused for this time. */
  private final AtomicLong pausedMicros = new AtomicLong();

  private final ForwardTransport transport =
      new ForwardTransport(
          loops.internal(),
          new PlainRequestForm(),
          ForwardSettings.DEFAULT,
          this,
          Counters.NONE,
          (decision, subject, fields) -> decisions.add(List.of(decision, subject, List.of(fields))),
          () -> Clock.steadyMicros() + pausedMicros.get());
  private final InetSocketAddress address =
      transport.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).get();
  private volatile RawServer server;
  private final Semaphore stalled = new Semaphore(0);
  private volatile Optional<Long> stallMicros = Optional.empty();
  private volatile boolean resumesOnce;
  private volatile Runnable onRequested = () -> {};

  @AfterEach
  void close() throws IOException {
    loops.close();
    if (server != null) {
      server.close();
    }
  }

  /** Makes the simplest decisions: one attempt, always relayed; a failure ends the request. */
  @Override
  public void deliver(CoreEvent event) {
    events.add((ForwardEvent) event);
    if (event instanceof ForwardEvent.Requested requested) {
      Runnable before = onRequested;
      onRequested = () -> {};
      before.run();
      transport.carryOut(
          new ForwardCommand.Send(requested.request(), 1, dispatch(Optional.empty())));
    } else if (event instanceof ForwardEvent.ResponseReceived answered) {
      transport.carryOut(
          new ForwardCommand.Relay(answered.request(), answered.attempt(), stallMicros));
    } else if (event instanceof ForwardEvent.Stalled) {
      stalled.release();
    } else if (event instanceof ForwardEvent.Broken broken && resumesOnce) {
      resumesOnce = false;
      transport.carryOut(
          new ForwardCommand.Send(broken.request(), 2, dispatch(broken.lastEvent())));
    } else if (event instanceof ForwardEvent.Broken broken) {
      boolean hasResponse =
          events.stream()
              .anyMatch(
                  one ->
                      one instanceof ForwardEvent.ResponseReceived answered
                          && answered.request() == broken.request());
      transport.carryOut(
          hasResponse
              ? new ForwardCommand.BreakOff(broken.request(), broken.detail())
              : new ForwardCommand.Refuse(
                  broken.request(), Refusal.notRun(RefusalReason.CONNECTION_LOST, "")));
    } else if (event instanceof ForwardEvent.CallerGone callerGone) {
      transport.carryOut(new ForwardCommand.Drop(callerGone.request(), 1));
      callerGoneReported.countDown();
    } else if (event instanceof ForwardEvent.ServerChecked) {
      serverChecked.countDown();
    }
  }

  /** Guards against ending an attempt whose server has gone on since its silence was reported. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aSilentServerIsGivenUpOnlyWhileItIsSilent(boolean goesOn) throws Exception {
    stallMicros = Optional.of(200_000L);
    String last = chunk("id: 2\n\n") + "0\r\n\r\n";
    server =
        new RawServer(request -> streamHead("r1") + chunk("id: 1\n\n") + RawServer.PAUSE + last);
    try (Socket socket = connect()) {
      socket
          .getOutputStream()
          .write(post("r1", "keep-alive", "").getBytes(StandardCharsets.ISO_8859_1));
      // The report is repeated for as long as the silence lasts.
      assertThat(stalled.tryAcquire(2, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
      if (goesOn) {
        server.proceed();
        while (events.stream().noneMatch(event -> event instanceof ForwardEvent.Completed)) {
          TimeUnit.MILLISECONDS.sleep(5);
        }
      }
      transport.carryOut(new ForwardCommand.GiveUp(1, 1));
      loops.internal().submit(() -> {}).sync();

      assertThat(events.stream().anyMatch(event -> event instanceof ForwardEvent.Broken))
          .isEqualTo(!goesOn);
    }
  }

  private Dispatch dispatch(Optional<Long> resumesAfter) {
    return PlainRequestForm.dispatch(server.address(), resumesAfter);
  }

  private static String response(String id, String body) {
    return "HTTP/1.1 200 OK\r\nid: "
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static String streamHead(String id) {
    return "HTTP/1.1 200 OK\r\nid: "
        + id
        + "\r\nContent-Type: text/event-stream\r\n"
        + "Transfer-Encoding: chunked\r\n\r\n";
  }

  /** Sends bytes and returns everything received until the peer closes the connection. */
  private String exchange(String request) throws IOException {
    try (Socket socket = connect()) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  private static String post(String id, String connection, String body) {
    return "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nid: "
        + id
        + "\r\nConnection: "
        + connection
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  @Test
  void methodTargetBodyAndResponsePassUnchanged() throws IOException {
    server = new RawServer(request -> response("1", "done"));
    assertThat(exchange(post("1", "close", "body"))).endsWith("\r\n\r\ndone");
    assertThat(server.requests().get(0)).startsWith("POST /a/b?c=d HTTP/1.1\r\n");
    assertThat(server.requests().get(0)).endsWith("\r\n\r\nbody");
  }

  @Test
  void oneConnectionCarriesRequestsInOrder() throws IOException {
    server =
        new RawServer(
            request ->
                request.contains("id: 1") ? response("1", "first") : response("2", "second"));
    String both = exchange(post("1", "keep-alive", "a") + post("2", "close", "b"));
    assertThat(both.indexOf("first")).isLessThan(both.indexOf("second"));
    assertThat(server.connections()).isEqualTo(1);
  }

  /** Answers request 0 with a body, and request 1 with a text. */
  private void serve(String answerOfRequest1) throws IOException {
    server =
        new RawServer(
            request -> request.contains("id: 0\r\n") ? response("0", "late") : answerOfRequest1);
  }

  private String exchangeAfterRequest0() throws IOException {
    return exchange(post("0", "keep-alive", "a") + post("1", "close", "a"));
  }

  @Test
  void aResponseToAnEarlierRequestIsSkipped() throws IOException {
    serve(response("0", "again") + response("1", "own"));
    String answers = exchangeAfterRequest0();
    assertThat(answers).endsWith("own");
    assertThat(answers).doesNotContain("again");
    assertThat(server.connections()).isEqualTo(1);
  }

  @Test
  void aSkippedResponseWritesALine() throws IOException {
    serve(response("0", "again") + response("1", "own"));
    exchangeAfterRequest0();
    assertThat(decisions).hasSize(1);
    assertThat(decisions.get(0).subList(0, 2))
        .containsExactly(Decision.UNEXPECTED_RESPONSE, "1")
        .inOrder();
    assertThat((List<?>) decisions.get(0).get(2))
        .containsAtLeast("outcome", "other-request", "status", 200, "names", "0", "carried", 2);
  }

  // Guards against a second answer replacing the server's failure, whose id is damaged.
  @ParameterizedTest
  @ValueSource(strings = {"id: 2\r\n", "id: 1 x\r\n", "id: \r\n"})
  void aFailureOfAnUnknownRequestIsNotReplacedByASecondAnswer(String header) throws IOException {
    serve(failure(header) + response("1", "second"));
    String answers = exchangeAfterRequest0();
    assertThat(answers).contains("HTTP/1.1 502 ");
    assertThat(answers).doesNotContain("second");
  }

  // Guards against a skipped response whose body was cut short hiding the server's failure, or the
  // beginning of it.
  @ParameterizedTest
  @CsvSource({"0, 200", "1, 200", "30, 200", "30, 1", "30, 7"})
  void aFailureInsideASkippedBodyIsNotReplacedByASecondAnswer(int sent, int most)
      throws IOException {
    String whole = failure("id: 1\r\n");
    String hidden = whole.substring(0, Math.min(most, whole.length()));
    String cutShort =
        "HTTP/1.1 200 OK\r\nid: 0\r\nContent-Length: "
            + (sent + hidden.length())
            + "\r\n\r\n"
            + "x".repeat(sent);
    serve(cutShort + hidden + response("1", "second"));
    String answers = exchangeAfterRequest0();
    assertThat(answers).contains("HTTP/1.1 502 ");
    assertThat(answers).doesNotContain("second");
  }

  @Test
  void aConnectionWithSurplusBytesIsNotReused() throws IOException {
    server =
        new RawServer(
            request ->
                request.contains("id: 1")
                    ? response("1", "first") + response("1", "again")
                    : response("2", "second"));
    String both = exchange(post("1", "keep-alive", "a") + post("2", "close", "b"));
    assertThat(both).doesNotContain("again");
    assertThat(both).contains("second");
  }

  @Test
  void aStreamThatBreaksWithinAnEventLooksIncomplete() throws IOException {
    server =
        new RawServer(
            request ->
                streamHead("1")
                    + chunk("id: 1\ndata: a\n\n")
                    + RawServer.PAUSE
                    + chunk("id: 2\nda")
                    + "zz\r\n");
    try (Socket socket = connect()) {
      socket.getOutputStream().write(post("1", "close", "a").getBytes(StandardCharsets.ISO_8859_1));
      StringBuilder answer = new StringBuilder();
      while (answer.indexOf("data: a\n\n") < 0) {
        int next = socket.getInputStream().read();
        assertThat(next).isAtLeast(0);
        answer.append((char) next);
      }
      server.proceed();
      byte[] rest = socket.getInputStream().readAllBytes();
      answer.append(new String(rest, StandardCharsets.ISO_8859_1));
      assertThat(answer.toString()).doesNotContain("id: 2");
      assertThat(answer.toString()).doesNotContain("\r\n0\r\n");
    }
  }

  @Test
  void aCompleteStreamEndsWithTheLastChunk() throws IOException {
    server =
        new RawServer(
            request ->
                streamHead("1")
                    + chunk("id: 1\ndata: a\n\n")
                    + chunk("id: 2\ndata: b\n\n")
                    + "0\r\n\r\n");
    String answer = exchange(post("1", "close", "a"));
    assertThat(answer).contains("data: b");
    assertThat(answer).endsWith("0\r\n\r\n");
  }

  private static String refusal(String headers) {
    return "HTTP/1.1 503 Busy\r\nnot-run: 1\r\n" + headers + "Content-Length: 0\r\n\r\n";
  }

  // Guards against a caller being told "not run" because of a refusal of an earlier request, and
  // against a second answer replacing the refusal of the request itself.
  @Test
  void aRefusalWithoutAnIdOnALaterRequestLeavesItsOutcomeUnknown() throws IOException {
    server =
        new RawServer(
            request ->
                request.contains("id: 1")
                    ? refusal("id: 1\r\n")
                    : refusal("") + response("2", "second"));
    String both = exchange(post("1", "keep-alive", "a") + post("2", "close", "b"));
    assertThat(both).startsWith("HTTP/1.1 503 ");
    assertThat(both.lastIndexOf("HTTP/1.1 503 ")).isEqualTo(0);
    assertThat(both).contains("HTTP/1.1 502 ");
    assertThat(both).doesNotContain("second");
  }

  @ParameterizedTest
  @CsvSource({"'', 503", "'id: 1\r\n', 503", "'id: 0\r\n', 502"})
  void aRefusalWithoutAnIdAnswersTheFirstRequestOfAConnection(String headers, int status)
      throws IOException {
    server = new RawServer(request -> refusal(headers) + response("1", "own"));
    assertThat(exchange(post("1", "close", "a"))).startsWith("HTTP/1.1 " + status + " ");
  }

  // Guards against an earlier refusal of the same request being taken for that of its next attempt.
  @Test
  void aRefusedRequestIsNotRepeatedOnTheSameConnection() throws IOException {
    server = new RawServer(request -> refusal("id: 1\r\n"));
    String both = exchange(post("1", "keep-alive", "a") + post("1", "close", "a"));
    assertThat(both).startsWith("HTTP/1.1 503 ");
    assertThat(server.connections()).isEqualTo(2);
  }

  private static String failure(String headers) {
    return "HTTP/1.1 500 Error\r\n" + headers + "Content-Length: 0\r\n\r\n";
  }

  static List<String> firstAnswers() {
    return List.of(failure("id: 1\r\n"), response("1", "own"));
  }

  // Guards against a late second answer to a request being taken for that to its next attempt.
  @ParameterizedTest
  @MethodSource("firstAnswers")
  void aRequestIsNotSentAgainOverTheSameConnection(String firstAnswer) throws IOException {
    server = new RawServer(request -> firstAnswer);
    exchange(post("1", "keep-alive", "a") + post("1", "close", "a"));
    assertThat(server.requests()).hasSize(2);
    assertThat(server.connections()).isEqualTo(2);
  }

  static Stream<Arguments> failuresThatNameNoRequest() {
    return Stream.of("", "id: 0\r\nid: 1\r\n", "id: 1\r\nid: 0\r\n")
        .flatMap(
            headers ->
                Stream.of(
                    Arguments.of(headers, ""),
                    Arguments.of(headers, post("0", "keep-alive", "a"))));
  }

  // Guards against a second answer that is a success replacing a failure that names no request.
  @ParameterizedTest
  @MethodSource("failuresThatNameNoRequest")
  void aFailureThatNamesNoRequestIsNotReplacedByASecondAnswer(String headers, String earlier)
      throws IOException {
    server =
        new RawServer(
            request ->
                request.contains("id: 1\r\n")
                    ? failure(headers) + response("1", "second")
                    : response("0", "earlier"));
    String answers = exchange(earlier + post("1", "close", "a"));
    assertThat(answers).doesNotContain("second");
    assertThat(answers).contains("HTTP/1.1 502 ");
  }

  static Stream<String> ambiguousResponses() {
    String chunked = "Transfer-Encoding: chunked\r\n";
    String own = "id: 1\r\nContent-Length: 3\r\n\r\nabc";
    return Stream.of(
        "XHTTP/1.1 200 OK\r\n" + own,
        "HTTP/2.0 200 OK\r\n" + own,
        "HTTP/1.1 +200 OK\r\n" + own,
        "HTTP/1.1 0200 OK\r\n" + own,
        "HTTP/1.1 099 OK\r\n" + own,
        "HTTP/1.1 600 OK\r\n" + own,
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
        "HTTP/1.1 199 Any\r\nid: 1\r\n\r\n" + response("1", "second"),
        "HTTP/1.1 200 OK\r\n" + chunked + own,
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + own,
        "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: +3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nid: 1\r\n" + chunked + chunked + "\r\n" + "0\r\n\r\n",
        "HTTP/1.0 200 OK\r\nid: 1\r\n" + chunked + "\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: identity\r\n\r\nabc"
            + RawServer.THEN_CLOSE);
  }

  // Guards against a response that another reader understands differently being relayed.
  @ParameterizedTest
  @MethodSource("ambiguousResponses")
  void anAmbiguousResponseIsNotRelayed(String ambiguous) throws IOException {
    server = new RawServer(request -> ambiguous);
    assertThat(exchange(post("1", "close", "a"))).startsWith("HTTP/1.1 502 ");
  }

  // Guards against a success of an earlier head that was cut short hiding the server's failure.
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nx: y"})
  void aFailureBehindAHeadThatIsCutShortIsNoSuccess(String cutShort) throws IOException {
    server = new RawServer(request -> cutShort + failure("id: 1\r\n"));
    assertThat(exchange(post("1", "close", "a"))).startsWith("HTTP/1.1 502 ");
  }

  // Guards against the reuse of a connection on which a part of another response has arrived.
  @ParameterizedTest
  @ValueSource(strings = {"\r\n", "H", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nx: "})
  void aConnectionWithAPartOfAnotherResponseIsNotReused(String part) throws IOException {
    server =
        new RawServer(
            request ->
                request.contains("id: 1\r\n")
                    ? response("1", "first") + part
                    : failure("id: 2\r\n"));
    String both = exchange(post("1", "keep-alive", "a") + post("2", "close", "b"));
    assertThat(both).contains("HTTP/1.1 500 ");
    assertThat(server.connections()).isEqualTo(2);
  }

  // Guards against a late second response being read as if it answered the HEAD request, and the
  // reverse: a body was read as the next response, or the response to HEAD waited for a body.
  @ParameterizedTest
  @CsvSource({"GET, HEAD", "HEAD, GET"})
  void headRequestsHaveTheirOwnConnections(String first, String second) throws IOException {
    server =
        new RawServer(
            request -> failure(request.contains("id: 1\r\n") ? "id: 1\r\n" : "id: 2\r\n"));
    exchange(
        first
            + " /a HTTP/1.1\r\nHost: h\r\nid: 1\r\n\r\n"
            + second
            + " /a HTTP/1.1\r\nHost: h\r\nid: 2\r\nConnection: close\r\n\r\n");
    assertThat(server.connections()).isEqualTo(2);
  }

  static Stream<Arguments> answersWithoutABody() {
    String ok = "HTTP/1.1 200 OK\r\nid: 1\r\n";
    return Stream.of(
        Arguments.of("HEAD", ok + "\r\n"),
        Arguments.of("HEAD", ok + "Content-Length: 5\r\n\r\n"),
        Arguments.of("HEAD", ok + "Transfer-Encoding: chunked\r\n\r\n"),
        Arguments.of("HEAD", ok + "Content-Type: text/event-stream\r\n\r\n"),
        Arguments.of("HEAD", "HTTP/1.1 404 Not Found\r\nid: 1\r\n\r\n"),
        Arguments.of("HEAD", RawServer.CLOSE),
        Arguments.of("GET", "HTTP/1.1 204 No Content\r\nid: 1\r\n\r\n"),
        Arguments.of("GET", "HTTP/1.1 204 No Content\r\nid: 1\r\nContent-Length: 5\r\n\r\n"),
        Arguments.of("GET", "HTTP/1.1 304 Not Modified\r\nid: 1\r\n\r\n"),
        Arguments.of("GET", "HTTP/1.1 304 Not Modified\r\nid: 1\r\nContent-Length: 5\r\n\r\n"));
  }

  // Guards against bytes of a body that the caller takes for the beginning of its next response.
  @ParameterizedTest
  @MethodSource("answersWithoutABody")
  void aResponseWithoutABodyIsFollowedByTheNextOne(String method, String answer)
      throws IOException {
    server =
        new RawServer(request -> request.contains("id: 1\r\n") ? answer : response("2", "second"));
    String both =
        exchange(method + " /a HTTP/1.1\r\nHost: h\r\nid: 1\r\n\r\n" + post("2", "close", "b"));
    int end = both.indexOf("\r\n\r\n") + 4;
    assertThat(both.substring(0, end).toLowerCase(Locale.ROOT)).doesNotContain("chunked");
    assertThat(both.substring(end)).startsWith("HTTP/1.1 200 ");
    assertThat(both).endsWith("second");
  }

  // Guards against a success that loses its body: 205 was written without it.
  @ParameterizedTest
  @ValueSource(ints = {200, 203, 205, 206, 299, 300, 399, 404, 500, 599})
  void aBodyOfAnyFinalStatusIsRelayedWhole(int status) throws IOException {
    server =
        new RawServer(
            request -> response("1", "whole").replace("200 OK", Integer.toString(status) + " Any"));
    String answer = exchange(post("1", "close", "a"));
    assertThat(answer).startsWith("HTTP/1.1 " + status + " ");
    assertThat(answer).endsWith("\r\n\r\nwhole");
  }

  // Guards against a crash that is taken for a broken connection, and the reverse.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aServerThatRefusesConnectionsHasCrashed(boolean hasCrashed) throws Exception {
    server = new RawServer(request -> response("1", "done"));
    String serverAddress = server.address();
    if (hasCrashed) {
      server.close();
    }
    transport.carryOut(new ForwardCommand.CheckServer("server", serverAddress));
    ForwardEvent.ServerChecked expected = new ForwardEvent.ServerChecked("server", hasCrashed);
    assertThat(serverChecked.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    assertThat(events).contains(expected);
  }

  // Guards against "not run" for a request that ran: the refusal was there before it was sent.
  @Test
  void aRefusalThatArrivedBeforeARequestDoesNotRefuseIt() throws Exception {
    server = new RawServer(request -> response("1", "done"));
    transport.carryOut(new ForwardCommand.CheckServer("server", server.address()));
    assertThat(serverChecked.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    // Runs on the event loop, which therefore reads the refusal only after the request is sent.
    onRequested = () -> server.sendUnasked(refusal(""));

    assertThat(exchange(post("1", "close", "a"))).endsWith("done");
    assertThat(server.requests()).hasSize(1);
  }

  static List<String> incompleteHeads() {
    return List.of(
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nid: 1\r\n",
        "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 0\r\n",
        "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 0\r\n\r");
  }

  // Guards against a response whose head was cut short reaching the caller as a complete one.
  @ParameterizedTest
  @MethodSource("incompleteHeads")
  void aHeadThatIsCutShortIsABrokenConnection(String head) throws IOException {
    server = new RawServer(request -> head + RawServer.THEN_CLOSE);
    assertThat(exchange(post("1", "close", "a"))).startsWith("HTTP/1.1 502 ");
    assertThat(brokenByReset()).containsExactly(true);
  }

  private List<Boolean> brokenByReset() {
    return broken().map(ForwardEvent.Broken::isReset).toList();
  }

  private Stream<ForwardEvent.Broken> broken() {
    return events.stream()
        .filter(ForwardEvent.Broken.class::isInstance)
        .map(ForwardEvent.Broken.class::cast);
  }

  // Guards against a stream that breaks long after its last event counting as one that had output
  // until then, so that its server seems to have survived it.
  @ParameterizedTest
  @ValueSource(strings = {"", "6\r\nid: 2\n\r\n", "zz\r\n"})
  void aBrokenStreamNamesTheTimeOfItsLastWholeEvent(String rest) throws IOException {
    server =
        new RawServer(
            request ->
                streamHead("1")
                    + chunk("id: 1\ndata: a\n\n")
                    + RawServer.PAUSE
                    + rest
                    + RawServer.THEN_CLOSE);
    try (Socket socket = connect()) {
      socket.getOutputStream().write(post("1", "close", "a").getBytes(StandardCharsets.ISO_8859_1));
      StringBuilder answer = new StringBuilder();
      while (answer.indexOf("data: a\n\n") < 0) {
        int next = socket.getInputStream().read();
        assertThat(next).isAtLeast(0);
        answer.append((char) next);
      }
      long seenMicros = Clock.steadyMicros();
      pausedMicros.set(TimeUnit.SECONDS.toMicros(5));
      server.proceed();
      socket.getInputStream().readAllBytes();
      List<Long> lastOutput = broken().map(ForwardEvent.Broken::lastOutputMicros).toList();
      assertThat(lastOutput).hasSize(1);
      assertThat(lastOutput.get(0)).isAtMost(seenMicros);
    }
  }

  @Test
  void aBodyThatEndsWithItsConnectionIsComplete() throws IOException {
    server =
        new RawServer(request -> "HTTP/1.1 200 OK\r\nid: 1\r\n\r\nwhole" + RawServer.THEN_CLOSE);
    String answer = exchange(post("1", "close", "a"));
    assertThat(answer).contains("whole");
    assertThat(answer).endsWith("0\r\n\r\n");
  }

  @ParameterizedTest
  @CsvSource({
    "'id: 1\ndata: a\n\n', true",
    "'id: 1\ndata: a\n\nid: 2\nda', false",
    "'id: 1\ndata: a\n\nid: 2\ndata: b\n', false",
    "'', false"
  })
  void aStreamThatEndsWithItsConnectionIsCompleteOnlyBetweenEvents(
      String events, boolean isComplete) throws IOException {
    server =
        new RawServer(
            request ->
                "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Type: text/event-stream\r\n\r\n"
                    + events.replace("\\n", "\n")
                    + RawServer.THEN_CLOSE);
    String answer = exchange(post("1", "close", "a"));
    assertThat(answer.endsWith("0\r\n\r\n")).isEqualTo(isComplete);
    assertThat(brokenByReset()).isEqualTo(isComplete ? List.of() : List.of(true));
  }

  static List<String> answersThatContinueNoStream() {
    return List.of(
        "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 11\r\n\r\nid: 2\noops\n",
        "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Type: text/plain\r\n\r\noops\n\n"
            + RawServer.THEN_CLOSE,
        "HTTP/1.1 204 No Content\r\nid: 1\r\n\r\n");
  }

  // Guards against another server's answer being appended to a stream that broke off, or ending it
  // as if it were complete.
  @ParameterizedTest
  @MethodSource("answersThatContinueNoStream")
  void aBrokenStreamIsNotContinuedWithAnAnswerThatIsNoStream(String other) throws IOException {
    resumesOnce = true;
    AtomicInteger attempts = new AtomicInteger();
    server =
        new RawServer(
            request ->
                attempts.getAndIncrement() == 0
                    ? streamHead("1") + chunk("id: 1\ndata: a\n\n") + RawServer.THEN_CLOSE
                    : other);
    String answer = exchange(post("1", "close", "a"));
    assertThat(attempts.get()).isEqualTo(2);
    assertThat(answer).contains("data: a");
    assertThat(answer).doesNotContain("oops");
    assertThat(answer).doesNotContain("\r\n0\r\n");
  }

  // Guards against a stream being appended to a broken body that is no stream.
  @Test
  void aBrokenBodyIsNotContinuedWithAStream() throws IOException {
    resumesOnce = true;
    AtomicInteger attempts = new AtomicInteger();
    server =
        new RawServer(
            request ->
                attempts.getAndIncrement() == 0
                    ? "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 90\r\n\r\nfirst"
                        + RawServer.THEN_CLOSE
                    : streamHead("1") + chunk("id: 1\ndata: oops\n\n") + "0\r\n\r\n");
    String answer = exchange(post("1", "close", "a"));
    assertThat(attempts.get()).isEqualTo(2);
    assertThat(answer).contains("first");
    assertThat(answer).doesNotContain("oops");
  }

  @Test
  void aConnectionThatClosesWithoutAResponseIsReported() throws IOException {
    server = new RawServer(request -> RawServer.CLOSE);
    assertThat(exchange(post("1", "close", "a"))).startsWith("HTTP/1.1 502 ");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "POST /a HTTP/1.1\r\nHost: h\r\nHost: other\r\nContent-Length: 0\r\n\r\n",
        "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n",
        "no request at all\r\n\r\n",
      })
  void anAmbiguouslyFramedRequestIsRejectedAndTheConnectionClosed(String request)
      throws IOException {
    server = new RawServer(any -> response("1", "done"));
    assertThat(exchange(request)).startsWith("HTTP/1.1 400 ");
    assertThat(server.requests()).isEmpty();
  }

  @Test
  void aBodyAboveTheLimitIsRejected() throws IOException {
    server = new RawServer(any -> response("1", "done"));
    String head = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n";
    assertThat(exchange(head)).startsWith("HTTP/1.1 413 ");
  }

  @Test
  void aHeadAboveTheLimitIsRejected() throws IOException {
    server = new RawServer(any -> response("1", "done"));
    String head = "GET /a HTTP/1.1\r\nHost: h\r\nx: " + "y".repeat(20_000) + "\r\n\r\n";
    assertThat(exchange(head)).startsWith("HTTP/1.1 431 ");
  }

  @Test
  void aCallerWhoDisconnectedDuringAPauseOfTheProcessIsNotServed() throws Exception {
    server = new RawServer(request -> response(request.contains("id: 1") ? "1" : "3", "whole"));
    Socket socket = connect();
    socket.getOutputStream().write(post("1", "keep", "a").getBytes(StandardCharsets.ISO_8859_1));
    assertThat(socket.getInputStream().readNBytes(8)).hasLength(8);
    CountDownLatch paused = new CountDownLatch(1);
    CountDownLatch mayContinue = new CountDownLatch(1);
    loops
        .internal()
        .execute(
            () -> {
              paused.countDown();
              try {
                mayContinue.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    assertThat(paused.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    socket.getOutputStream().write(post("2", "keep", "b").getBytes(StandardCharsets.ISO_8859_1));
    socket.shutdownOutput();
    TimeUnit.MILLISECONDS.sleep(300);
    mayContinue.countDown();
    assertThat(exchange(post("3", "close", "c"))).contains("whole");
    assertThat(server.requests().stream().anyMatch(request -> request.contains("id: 2"))).isFalse();
  }

  @Test
  void aCallerWhoDisconnectsEndsTheWorkAtTheServer() throws Exception {
    CountDownLatch received = new CountDownLatch(1);
    CountDownLatch never = new CountDownLatch(1);
    server =
        new RawServer(
            request -> {
              received.countDown();
              try {
                return never.await(50, TimeUnit.MILLISECONDS) ? "" : streamHead("1");
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return RawServer.CLOSE;
              }
            });
    Socket socket = connect();
    socket.getOutputStream().write(post("1", "close", "a").getBytes(StandardCharsets.ISO_8859_1));
    assertThat(received.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    socket.close();
    assertThat(callerGoneReported.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    while (!server.isAbandoned() && System.nanoTime() < deadline) {
      Thread.onSpinWait();
    }
    assertThat(server.isAbandoned()).isTrue();
  }

  private static Stream<Arguments> endlessResponses() {
    String interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    String foreign = "HTTP/1.1 200 OK\r\nid: other\r\n";
    return Stream.of(
        Arguments.of("head", "HTTP/1.1 200 OK\r\n" + RawServer.REPEAT_FOREVER + "x: y\r\n"),
        Arguments.of("status line", RawServer.REPEAT_FOREVER + "HTTP/1.1 200 O"),
        Arguments.of("interim heads", RawServer.REPEAT_FOREVER + interim),
        Arguments.of(
            "foreign body", foreign + "\r\n" + RawServer.REPEAT_FOREVER + "x".repeat(1_000)),
        Arguments.of(
            "foreign chunks",
            foreign
                + "Transfer-Encoding: chunked\r\n\r\n"
                + RawServer.REPEAT_FOREVER
                + chunk("abc")),
        Arguments.of("event", streamHead("a") + RawServer.REPEAT_FOREVER + chunk("data: abc\n")),
        Arguments.of(
            "chunk size", streamHead("a") + "1;" + RawServer.REPEAT_FOREVER + "x".repeat(1_000)),
        Arguments.of("trailer", streamHead("a") + "0\r\n" + RawServer.REPEAT_FOREVER + "x: y\r\n"));
  }

  /**
   * Guards against unbounded memory for a server that never ends a part of its response: the
   * request is ended and the server's connection closed.
   */
  @ParameterizedTest(name = "{0}")
  @MethodSource("endlessResponses")
  void endlessBytesEndTheRequest(String place, String answer)
      throws IOException, InterruptedException {
    server =
        new RawServer(
            request -> request.contains("id: other\r\n") ? response("other", "whole") : answer);

    String received = exchange(post("other", "keep-alive", "one") + post("a", "close", "one"));

    assertThat(received).doesNotContain("0\r\n\r\n");
    assertThat(server.awaitClosedByPeer(TIMEOUT_MILLIS)).isTrue();
  }

  /** Endless bytes after a complete response reach no caller, and the next caller is served. */
  @Test
  void endlessBytesAfterAResponseAreDropped() throws IOException {
    server =
        new RawServer(
            request ->
                request.contains("id: a\r\n")
                    ? response("a", "first") + RawServer.REPEAT_FOREVER + "x".repeat(1_000)
                    : response("b", "second"));

    assertThat(exchange(post("a", "close", "one"))).endsWith("first");
    assertThat(exchange(post("b", "close", "two"))).endsWith("second");
  }

  /**
   * Load pattern: an event loop that is slow after a restart still has to execute sends for callers
   * who have disconnected in the meantime.
   */
  @Test
  void nothingIsSentForACallerWhoLeftWhileTheLoopWasBlocked() throws Exception {
    server = new RawServer(request -> response("a", "done"));
    CountDownLatch decided = new CountDownLatch(1);
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch callerLeft = new CountDownLatch(1);
    onRequested =
        () -> {
          // The loop is blocked before it executes the command that follows from this event.
          loops.internal().execute(() -> blockLoop(blocked, callerLeft));
          decided.countDown();
        };
    Socket socket = connect();
    socket.getOutputStream().write(post("a", "close", "a").getBytes(StandardCharsets.ISO_8859_1));
    assertThat(decided.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    assertThat(blocked.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    socket.close();
    callerLeft.countDown();

    assertThat(callerGoneReported.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    assertThat(exchange(post("a", "close", "next"))).endsWith("done");
    assertThat(server.requests()).hasSize(1);
    assertThat(server.requests().get(0)).endsWith("next");
  }

  private void blockLoop(CountDownLatch blocked, CountDownLatch callerLeft) {
    blocked.countDown();
    try {
      callerLeft.await();
      pausedMicros.addAndGet(TimeUnit.SECONDS.toMicros(1));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
