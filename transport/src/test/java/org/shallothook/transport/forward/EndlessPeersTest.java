package org.shallothook.transport.forward;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.shallothook.coordination.forward.Dispatch;
import org.shallothook.coordination.forward.ForwardCommand;
import org.shallothook.coordination.forward.ForwardEvent;
import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.process.Clock;

/** Servers and callers that send without pause, beside requests that are answered at once. */
@Timeout(90)
final class EndlessPeersTest implements OpenEventSink {
  private static final int ENDLESS_CONNECTIONS = 3;
  private static final int SOUND_REQUESTS = 20;
  private static final int PARTS_AT_ONCE = 4_000;

  /** Time after the timeout of a route by which a request must have its answer. */
  private static final long MAXIMUM_MILLIS = 500;

  private static final int ANSWER_TIMEOUT_MILLIS = 10_000;
  private static final String SOUND = "sound";

  private final EventLoops loops = EventLoops.create(1);
  private final List<Socket> callers = Collections.synchronizedList(new ArrayList<>());
  private final ForwardTransport transport =
      new ForwardTransport(
          loops.internal(),
          new PlainRequestForm(),
          ForwardSettings.DEFAULT,
          this,
          Counters.NONE,
          DecisionJournal.NONE,
          Clock::steadyMicros);
  private final InetSocketAddress address =
      transport.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).get();
  private RawServer server;

  @AfterEach
  void close() throws IOException {
    for (Socket caller : List.copyOf(callers)) {
      caller.close();
    }
    loops.close();
    server.close();
  }

  @Override
  public void deliver(CoreEvent event) {
    if (event instanceof ForwardEvent.Requested requested) {
      transport.carryOut(new ForwardCommand.Send(requested.request(), 1, dispatch()));
    } else if (event instanceof ForwardEvent.ResponseReceived answered) {
      transport.carryOut(
          new ForwardCommand.Relay(answered.request(), answered.attempt(), Optional.empty()));
    } else if (event instanceof ForwardEvent.Broken ended) {
      transport.carryOut(new ForwardCommand.BreakOff(ended.request(), ended.detail()));
    } else if (event instanceof ForwardEvent.Unsent unsent) {
      transport.carryOut(
          new ForwardCommand.Refuse(
              unsent.request(), Refusal.notRun(RefusalReason.CONNECTION_LOST, unsent.detail())));
    }
  }

  private Dispatch dispatch() {
    return PlainRequestForm.dispatch(server.address(), Optional.empty());
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static String endless(String head, String part) {
    return head
        + "Transfer-Encoding: chunked\r\n\r\n"
        + RawServer.REPEAT_FOREVER
        + part.repeat(PARTS_AT_ONCE);
  }

  private static Stream<Arguments> endlessResponses() {
    String events = "Content-Type: text/event-stream\r\n";
    return Stream.of(
        Arguments.of("blank lines", endless(events, chunk("\n"))),
        Arguments.of("comments", endless(events, chunk(":\n\n"))),
        Arguments.of("events", endless(events, chunk("data: a\n\n"))),
        Arguments.of("lines of events without end", endless(events, chunk("\n") + chunk("x\n"))),
        Arguments.of("parts of one byte", endless("", chunk("x"))));
  }

  /**
   * Guards against an event loop that one response occupies: others were answered only after its
   * caller had left.
   */
  @ParameterizedTest(name = "{0}")
  @MethodSource("endlessResponses")
  void otherRequestsAreAnsweredBesideEndlessResponses(String kind, String rest) throws Exception {
    server = new RawServer(request -> answer(request, rest));
    for (int number = 0; number < ENDLESS_CONNECTIONS; number++) {
      InputStream response = send(get("endless" + number)).getInputStream();
      readInBackground(response);
    }
    assertThat(medianMillisOfSoundRequests()).isAtMost(MAXIMUM_MILLIS);
  }

  private static Stream<Arguments> endlessRequests() {
    String head = "POST /a HTTP/1.1\r\nHost: h\r\nid: endless\r\n";
    String request = "GET /a HTTP/1.1\r\nHost: h\r\nid: " + SOUND + "\r\n\r\n";
    return Stream.of(
        Arguments.of(
            "chunks of one byte",
            head + "Transfer-Encoding: chunked\r\n\r\n",
            chunk("x").repeat(PARTS_AT_ONCE)),
        Arguments.of("requests", "", request.repeat(PARTS_AT_ONCE / 10)),
        Arguments.of("blank lines before a head", "", "\r\n".repeat(PARTS_AT_ONCE)));
  }

  // Guards against an event loop that one caller occupies.
  @ParameterizedTest(name = "{0}")
  @MethodSource("endlessRequests")
  void otherRequestsAreAnsweredBesideEndlessRequests(String kind, String head, String part)
      throws Exception {
    server = new RawServer(request -> answer(request, ""));
    for (int number = 0; number < ENDLESS_CONNECTIONS; number++) {
      Socket caller = send(head);
      readInBackground(caller.getInputStream());
      sendInBackground(caller, part);
    }
    assertThat(medianMillisOfSoundRequests()).isAtMost(MAXIMUM_MILLIS);
  }

  private long medianMillisOfSoundRequests() throws Exception {
    Thread.sleep(MAXIMUM_MILLIS);
    List<Long> millis = new ArrayList<>();
    for (int number = 0; number < SOUND_REQUESTS; number++) {
      long startedNanos = System.nanoTime();
      Socket sound = send(get(SOUND + number));
      String received =
          new String(sound.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertThat(received).endsWith("\r\n\r\ndone");
      millis.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos));
    }
    Collections.sort(millis);
    return millis.get(SOUND_REQUESTS / 2);
  }

  private static String answer(String request, String rest) {
    String id = request.lines().filter(line -> line.startsWith("id: ")).findFirst().orElseThrow();
    String head = "HTTP/1.1 200 OK\r\n" + id + "\r\n";
    return request.contains(SOUND) ? head + "Content-Length: 4\r\n\r\ndone" : head + rest;
  }

  private static String get(String id) {
    return "GET /a HTTP/1.1\r\nHost: h\r\nid: " + id + "\r\nConnection: close\r\n\r\n";
  }

  private Socket send(String bytes) throws IOException {
    Socket caller = new Socket(address.getAddress(), address.getPort());
    callers.add(caller);
    caller.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
    caller.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    return caller;
  }

  private static void readInBackground(InputStream response) {
    runInBackground(
        () -> {
          byte[] part = new byte[1 << 16];
          while (response.read(part) >= 0) {}
        });
  }

  private static void sendInBackground(Socket caller, String part) {
    byte[] bytes = part.getBytes(StandardCharsets.ISO_8859_1);
    runInBackground(
        () -> {
          while (true) {
            caller.getOutputStream().write(bytes);
          }
        });
  }

  /** An exchange of bytes that ends with an exception. */
  private interface Transfer {
    void run() throws IOException;
  }

  private static void runInBackground(Transfer transfer) {
    Thread thread =
        new Thread(
            () -> {
              try {
                transfer.run();
              } catch (IOException e) {
                // The router or the test has closed the connection.
                return;
              }
            });
    thread.setDaemon(true);
    thread.start();
  }
}
