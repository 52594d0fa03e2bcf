package org.shallothook.transport.forward;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.shallothook.coordination.forward.ForwardCommand;
import org.shallothook.coordination.forward.ForwardEvent;
import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.transport.EarlyAnswer;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.process.Clock;

/** A server answers without a length before it has read the request, and ends the connection. */
@Timeout(30)
final class EarlyAnswerTest implements OpenEventSink {
  private static final int ACCEPT_TIMEOUT_MILLIS = 10_000;

  private final EventLoops loops = EventLoops.create(1);
  private final CompletableFuture<ForwardEvent> end = new CompletableFuture<>();
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
  private final ServerSocket server = newServer();

  private static ServerSocket newServer() {
    try {
      ServerSocket server = new ServerSocket();
      server.setReceiveBufferSize(1 << 14);
      server.setSoTimeout(ACCEPT_TIMEOUT_MILLIS);
      server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      return server;
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  @AfterEach
  void close() throws IOException {
    loops.close();
    server.close();
  }

  @Override
  public void deliver(CoreEvent event) {
    if (event instanceof ForwardEvent.Requested requested) {
      String serverAddress = "127.0.0.1:" + server.getLocalPort();
      transport.carryOut(
          new ForwardCommand.Send(
              requested.request(), 1, PlainRequestForm.dispatch(serverAddress, Optional.empty())));
    } else if (event instanceof ForwardEvent.ResponseReceived answered) {
      transport.carryOut(
          new ForwardCommand.Relay(answered.request(), answered.attempt(), Optional.empty()));
    } else if (event instanceof ForwardEvent forward) {
      end.complete(forward);
    }
  }

  // Guards against a part of a response that its caller gets as a complete one.
  @ParameterizedTest
  @EnumSource(EarlyAnswer.class)
  void aResponseThatEndsBeforeItsRequestIsWrittenIsBroken(EarlyAnswer ending) throws Exception {
    try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
      String head =
          "POST /a HTTP/1.1\r\nHost: h\r\nid: a\r\nContent-Length: "
              + EarlyAnswer.REQUEST_BYTES
              + "\r\nConnection: close\r\n\r\n";
      OutputStream output = caller.getOutputStream();
      output.write(head.getBytes(StandardCharsets.ISO_8859_1));
      output.write(new byte[EarlyAnswer.REQUEST_BYTES]);
      try (Socket accepted = server.accept()) {
        ending.answer(accepted, "HTTP/1.1 200 OK\r\nid: a\r\n");
        assertThat(end.get(20, TimeUnit.SECONDS)).isInstanceOf(ForwardEvent.Broken.class);
      }
    }
  }
}
