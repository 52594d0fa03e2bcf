package org.shallothook.transport.forward;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.shallothook.coordination.forward.Dispatch;
import org.shallothook.coordination.forward.ForwardCommand;
import org.shallothook.coordination.forward.ForwardEvent;
import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.transport.EventLoops;

/**
 * Guards against sending a request to a server after its caller has disconnected. This can happen
 * when the event loop is busy: it has read the request, but not yet the end of the caller's
 * connection.
 */
final class DepartedCallerTest implements OpenEventSink {
  private static final long TIMEOUT_MILLIS = 10_000;
  private static final String DEPARTED = "departed";

  /** The connection that the request is sent over, which determines when it is written. */
  private enum ServerConnectionKind {
    /** The caller disconnects before the request is written to an idle connection. */
    IDLE_CONNECTION(false),
    /** The caller disconnects while a connection to the server is being established. */
    NEW_CONNECTION(true);

    private final boolean isConnecting;

    ServerConnectionKind(boolean isConnecting) {
      this.isConnecting = isConnecting;
    }

    boolean isConnecting() {
      return isConnecting;
    }
  }

  private final EventLoops loops = EventLoops.create(1);
  private final CountDownLatch isLoopBlocked = new CountDownLatch(1);
  private final CountDownLatch callerHasLeft = new CountDownLatch(1);
  private final CountDownLatch callerGoneReported = new CountDownLatch(1);

  /** The clock is constant: the loop is busy, but no pause can be detected from the time. */
  private final ForwardTransport transport =
      new ForwardTransport(
          loops.internal(),
          new PlainRequestForm(),
          ForwardSettings.DEFAULT,
          this,
          Counters.NONE,
          DecisionJournal.NONE,
          () -> 1);

  private InetSocketAddress address;
  private RawServer server;
  private volatile ServerConnectionKind connectionKind;

  @BeforeEach
  void listen() throws IOException {
    address = transport.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).get();
    server =
        new RawServer(
            request ->
                "HTTP/1.1 200 OK\r\nid: " + idOf(request) + "\r\nContent-Length: 4\r\n\r\ndone");
  }

  @AfterEach
  void close() throws IOException {
    loops.close();
    server.close();
  }

  @Override
  public void deliver(CoreEvent event) {
    if (event instanceof ForwardEvent.Requested requested) {
      boolean isDeparting = requested.head().id().equals(DEPARTED);
      if (isDeparting && !connectionKind.isConnecting()) {
        loops.internal().execute(this::blockUntilCallerHasLeft);
      }
      transport.carryOut(new ForwardCommand.Send(requested.request(), 1, dispatch()));
      if (isDeparting && connectionKind.isConnecting()) {
        loops.internal().execute(this::blockUntilCallerHasLeft);
      }
    } else if (event instanceof ForwardEvent.ResponseReceived answered) {
      transport.carryOut(
          new ForwardCommand.Relay(answered.request(), answered.attempt(), Optional.empty()));
    } else if (event instanceof ForwardEvent.CallerGone) {
      callerGoneReported.countDown();
    }
  }

  /** Load pattern: callers disconnect before their requests are sent (GONE in docs/PROOFS.md). */
  @ParameterizedTest
  @EnumSource(ServerConnectionKind.class)
  void nothingIsSentAfterTheCallersConnectionHasClosed(ServerConnectionKind kind) throws Exception {
    connectionKind = kind;
    if (!connectionKind.isConnecting()) {
      assertThat(exchange("first")).endsWith("done");
    }
    try (Socket socket = connect()) {
      socket.getOutputStream().write(post(DEPARTED, "keep-alive"));
      assertThat(isLoopBlocked.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    }
    callerHasLeft.countDown();

    assertThat(callerGoneReported.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    assertThat(exchange("last")).endsWith("done");
    List<String> served = server.requests().stream().map(DepartedCallerTest::idOf).toList();
    assertThat(served).doesNotContain(DEPARTED);
  }

  private void blockUntilCallerHasLeft() {
    isLoopBlocked.countDown();
    try {
      assertThat(callerHasLeft.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Dispatch dispatch() {
    return PlainRequestForm.dispatch(server.address(), Optional.empty());
  }

  private String exchange(String id) throws IOException {
    try (Socket socket = connect()) {
      socket.getOutputStream().write(post(id, "close"));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout((int) TIMEOUT_MILLIS);
    return socket;
  }

  private static byte[] post(String id, String connection) {
    String text =
        "POST /a HTTP/1.1\r\nHost: h\r\nid: "
            + id
            + "\r\nConnection: "
            + connection
            + "\r\nContent-Length: 1\r\n\r\na";
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static String idOf(String request) {
    return request
        .lines()
        .filter(line -> line.startsWith("id: "))
        .map(line -> line.substring("id: ".length()))
        .findFirst()
        .orElse("");
  }
}
