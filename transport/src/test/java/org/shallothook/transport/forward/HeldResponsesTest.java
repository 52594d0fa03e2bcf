package org.shallothook.transport.forward;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
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

/** Bounds the sum of the responses that many faulty servers or slow callers make a process hold. */
@Timeout(60)
final class HeldResponsesTest implements OpenEventSink {
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final int MAXIMUM_HELD_BYTES = 1 << 20;
  private static final int FAULTY_REQUESTS = 60;
  private static final int SOUND_REQUESTS = 300;
  private static final int RECEIVE_BUFFER_BYTES = 4_096;
  private static final String SOUND = "sound";

  private final EventLoops loops = EventLoops.create(1);
  private final List<Socket> callers = new ArrayList<>();
  private final ForwardTransport transport =
      new ForwardTransport(
          loops.internal(),
          new PlainRequestForm(),
          settings(),
          this,
          Counters.NONE,
          DecisionJournal.NONE,
          Clock::steadyMicros);
  private final InetSocketAddress address =
      transport.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).get();
  private final CountDownLatch broken = new CountDownLatch(1);
  private RawServer server;

  private static ForwardSettings settings() {
    ForwardSettings defaults = ForwardSettings.DEFAULT;
    return new ForwardSettings(
        Duration.ofMillis(TIMEOUT_MILLIS),
        defaults.idleTimeout(),
        defaults.maximumIdleTime(),
        defaults.nonRepeatableIdleTime(),
        defaults.maximumIdleConnections(),
        defaults.maximumCallerConnections(),
        defaults.drainPeriod(),
        MAXIMUM_HELD_BYTES);
  }

  @AfterEach
  void close() throws IOException {
    loops.close();
    server.close();
    for (Socket caller : callers) {
      caller.close();
    }
  }

  @Override
  public void deliver(CoreEvent event) {
    if (event instanceof ForwardEvent.Requested requested) {
      transport.carryOut(new ForwardCommand.Send(requested.request(), 1, dispatch()));
    } else if (event instanceof ForwardEvent.ResponseReceived answered) {
      transport.carryOut(
          new ForwardCommand.Relay(answered.request(), answered.attempt(), Optional.empty()));
    } else if (event instanceof ForwardEvent.Broken ended) {
      broken.countDown();
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

  private static Stream<Arguments> faultyResponses() {
    String chunked = "Transfer-Encoding: chunked\r\n\r\n";
    return Stream.of(
        Arguments.of(
            "events without end",
            "Content-Type: text/event-stream\r\n"
                + chunked
                + chunk("data: " + "x".repeat(60_000))
                + RawServer.PAUSE),
        Arguments.of("large chunks", chunked + RawServer.REPEAT_FOREVER + chunk("x".repeat(8_000))),
        Arguments.of(
            "small chunks", chunked + RawServer.REPEAT_FOREVER + chunk("x").repeat(10_000)),
        Arguments.of("whole responses", "Content-Length: 200000\r\n\r\n" + "x".repeat(200_000)));
  }

  /**
   * Guards against a process that runs out of memory because many responses, each within its own
   * bound, wait at once for their rest or for callers who take nothing.
   */
  @ParameterizedTest(name = "{0}")
  @MethodSource("faultyResponses")
  void theSumOfHeldResponsesIsBoundedAndOtherCallersAreServed(String kind, String rest)
      throws Exception {
    server = new RawServer(request -> answer(request, rest));
    for (int number = 0; number < FAULTY_REQUESTS; number++) {
      send("faulty" + number);
    }

    long mostHeldBytes = 0;
    for (int number = 0; number < SOUND_REQUESTS; number++) {
      Socket sound = send(SOUND + number);
      String received =
          new String(sound.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertThat(received).endsWith("\r\n\r\ndone");
      mostHeldBytes = Math.max(mostHeldBytes, loops.internal().submit(transport::heldBytes).get());
    }
    assertThat(server.requests().size()).isAtLeast(FAULTY_REQUESTS + SOUND_REQUESTS);
    assertThat(mostHeldBytes).isAtMost(MAXIMUM_HELD_BYTES);
  }

  /**
   * Guards against a heap that is full of the heads of open responses, which take much more memory
   * than their bytes if their fields are short.
   */
  @Test
  void headsOfManyShortFieldsAreHeldResponsesToo() throws Exception {
    String rest = "a: \r\n".repeat(1_300) + "Transfer-Encoding: chunked\r\n\r\n" + RawServer.PAUSE;
    server = new RawServer(request -> answer(request, rest));
    for (int number = 0; number < FAULTY_REQUESTS; number++) {
      send("faulty" + number);
    }

    assertThat(broken.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    Socket sound = send(SOUND);
    assertThat(new String(sound.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1))
        .endsWith("\r\n\r\ndone");
  }

  private static String answer(String request, String rest) {
    String id = request.lines().filter(line -> line.startsWith("id: ")).findFirst().orElseThrow();
    String head = "HTTP/1.1 200 OK\r\n" + id + "\r\n";
    return request.contains(SOUND) ? head + "Content-Length: 4\r\n\r\ndone" : head + rest;
  }

  /** Sends a request over a connection of its own whose caller takes little before it reads. */
  private Socket send(String id) throws IOException {
    Socket caller = new Socket();
    callers.add(caller);
    caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    caller.setSoTimeout(TIMEOUT_MILLIS);
    caller.connect(address);
    String request = "GET /a HTTP/1.1\r\nHost: h\r\nid: " + id + "\r\nConnection: close\r\n\r\n";
    caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    return caller;
  }
}
