package org.shallothook.transport.forward;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.forward.ForwardCommand;
import org.shallothook.coordination.forward.ForwardEvent;
import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.process.Clock;

/** The silence of a server counts from when it was sent the stream. */
@Timeout(60)
final class ResumedStallReviewTest implements OpenEventSink {
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final long STALL_MICROS = 30_000_000;

  /** Time in which a stall is reported, if there is one. */
  private static final Duration REPORT_TIME = Duration.ofMillis(800);

  private final EventLoops loops = EventLoops.create(1);
  private final AtomicLong aheadMicros = new AtomicLong();
  private final List<ForwardEvent.Stalled> stalled = new CopyOnWriteArrayList<>();
  private final CountDownLatch resumed = new CountDownLatch(2);
  private final ForwardTransport transport =
      new ForwardTransport(
          loops.internal(),
          new PlainRequestForm(),
          ForwardSettings.DEFAULT,
          this,
          Counters.NONE,
          DecisionJournal.NONE,
          () -> Clock.steadyMicros() + aheadMicros.get());
  private final InetSocketAddress address =
      transport.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).get();
  private volatile RawServer server;

  @AfterEach
  void close() throws IOException {
    loops.close();
    server.close();
  }

  @Override
  public void deliver(CoreEvent event) {
    if (event instanceof ForwardEvent.Requested requested) {
      send(requested.request(), 1, Optional.empty());
    } else if (event instanceof ForwardEvent.ResponseReceived answered) {
      transport.carryOut(
          new ForwardCommand.Relay(
              answered.request(), answered.attempt(), Optional.of(STALL_MICROS)));
    } else if (event instanceof ForwardEvent.Stalled silent) {
      stalled.add(silent);
    } else if (event instanceof ForwardEvent.Broken broken) {
      send(broken.request(), broken.attempt() + 1, broken.lastEvent());
    }
  }

  private void send(long request, int attempt, Optional<Long> lastEvent) {
    transport.carryOut(
        new ForwardCommand.Send(
            request, attempt, PlainRequestForm.dispatch(server.address(), lastEvent)));
  }

  private String answer(String request) {
    resumed.countDown();
    String event = "id: 1\n\n";
    String begun =
        "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n"
            + Integer.toHexString(event.length())
            + "\r\n"
            + event
            + "\r\n"
            + RawServer.PAUSE
            + RawServer.THEN_CLOSE;
    return resumed.getCount() > 0 ? begun : RawServer.PAUSE + begun;
  }

  /** Guards against taking a stream from a server that was sent it only just now. */
  @ParameterizedTest
  @ValueSource(longs = {0, STALL_MICROS - 2_000_000})
  void theNextServerIsNotSilentFromTheStart(long sinceLastEventMicros) throws Exception {
    server = new RawServer(this::answer);
    try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
      caller.setSoTimeout(TIMEOUT_MILLIS);
      caller
          .getOutputStream()
          .write(
              "POST /a HTTP/1.1\r\nHost: h\r\nid: r1\r\nContent-Length: 0\r\n\r\n"
                  .getBytes(StandardCharsets.ISO_8859_1));
      byte[] begun = new byte[4];
      assertThat(caller.getInputStream().readNBytes(begun, 0, begun.length)).isEqualTo(4);
      TimeUnit.MILLISECONDS.sleep(100);
      aheadMicros.addAndGet(sinceLastEventMicros);
      server.proceed();
      assertThat(resumed.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
      aheadMicros.addAndGet(2_000_000);
      TimeUnit.MILLISECONDS.sleep(REPORT_TIME.toMillis());

      assertThat(stalled).isEmpty();
    }
  }
}
