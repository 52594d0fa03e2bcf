package org.shallothook.transport.forward;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.shallothook.coordination.forward.ForwardCommand;
import org.shallothook.coordination.forward.ForwardEvent;
import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.process.Clock;

/** Load pattern: callers continue to use their connections while the process is draining. */
final class PlannedStopTest implements OpenEventSink {
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final Duration DRAIN_PERIOD = Duration.ofMillis(1_500);
  private static final long DRAIN_MICROS = TimeUnit.NANOSECONDS.toMicros(DRAIN_PERIOD.toNanos());
  private static final String BUSY = "busy";

  private final EventLoops loops = EventLoops.create(1);
  private final CountDownLatch loopIsBlocked = new CountDownLatch(1);
  private final CountDownLatch loopMayContinue = new CountDownLatch(1);
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

  @AfterEach
  void close() {
    loops.close();
  }

  @Override
  public void deliver(CoreEvent event) {
    if (event instanceof ForwardEvent.Requested requested) {
      if (requested.head().id().equals(BUSY)) {
        blockLoop();
      }
      Refusal refusal =
          Refusal.notRun(RefusalReason.ROUTER_LEAVING, "The router is being stopped.");
      transport.carryOut(new ForwardCommand.Refuse(requested.request(), refusal));
    }
  }

  /**
   * Guards against dropping a request that is already in the socket buffer when idle connections
   * are closed at the end of the drain period.
   */
  @Test
  void aRequestThatArrivesAsUnusedConnectionsAreClosedIsAnswered() throws Exception {
    try (Socket kept = connect();
        Socket busy = connect()) {
      write(kept, "first");
      assertThat(readStatus(kept)).isEqualTo("HTTP/1.1 503");

      long drainPeriodEndNanos = System.nanoTime() + DRAIN_PERIOD.toNanos();
      transport.drain(Clock.steadyMicros() + DRAIN_MICROS, () -> {});
      loops.internal().submit(() -> {}).sync();
      write(busy, BUSY);
      assertThat(loopIsBlocked.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
      write(kept, "second");
      TimeUnit.NANOSECONDS.sleep(
          drainPeriodEndNanos - System.nanoTime() + DRAIN_PERIOD.toNanos() / 10);
      loopMayContinue.countDown();

      assertThat(readStatus(kept)).isEqualTo("HTTP/1.1 503");
    }
  }

  private void blockLoop() {
    loopIsBlocked.countDown();
    try {
      assertThat(loopMayContinue.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  private static void write(Socket socket, String id) throws IOException {
    String request = "POST /a HTTP/1.1\r\nHost: h\r\nid: " + id + "\r\nContent-Length: 0\r\n\r\n";
    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads a response and returns its protocol and status; empty if the connection is closed. */
  private static String readStatus(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = socket.getInputStream().read();
      if (next < 0) {
        return "";
      }
      head.append((char) next);
    }
    int length =
        head.toString()
            .lines()
            .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("content-length:"))
            .mapToInt(line -> Integer.parseInt(line.substring(line.indexOf(':') + 1).trim()))
            .findFirst()
            .orElse(0);
    socket.getInputStream().readNBytes(length);
    return head.substring(0, "HTTP/1.1 503".length());
  }
}
