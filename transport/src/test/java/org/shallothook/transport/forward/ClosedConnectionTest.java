package org.shallothook.transport.forward;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.shallothook.coordination.forward.ForwardCommand;
import org.shallothook.coordination.forward.ForwardEvent;
import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.coordination.port.Decision;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.process.Clock;

/** Each connection that is closed over a request that was read has a log line and a counter. */
@Timeout(60)
final class ClosedConnectionTest implements OpenEventSink {
  private static final int TIMEOUT_MILLIS = 10_000;

  /** A decision line. */
  private record Line(Decision decision, String subject, List<Object> fields) {}

  /** Ways in which a connection ends although a request on it has no complete response. */
  private enum End {
    BROKEN_OFF {
      @Override
      void happen(ClosedConnectionTest test, PlainCaller caller) {
        test.transport.carryOut(new ForwardCommand.BreakOff(1, "the server is silent"));
      }
    },
    PROCESS_STOPPED {
      @Override
      void happen(ClosedConnectionTest test, PlainCaller caller) {
        test.transport.reportOpenAtEnd(() -> {});
      }
    },
    CALLER_LEFT {
      @Override
      void happen(ClosedConnectionTest test, PlainCaller caller) throws IOException {
        caller.close();
      }
    };

    abstract void happen(ClosedConnectionTest test, PlainCaller caller) throws IOException;

    String code() {
      return CloseReason.valueOf(name()).code();
    }
  }

  private final EventLoops loops = EventLoops.create(1);
  private final LinkedBlockingQueue<Line> lines = new LinkedBlockingQueue<>();
  private final Map<String, Integer> counted = new ConcurrentHashMap<>();
  private final CountDownLatch responseHeadArrived = new CountDownLatch(1);
  private final ForwardTransport transport =
      new ForwardTransport(
          loops.internal(),
          new PlainRequestForm(),
          ForwardSettings.DEFAULT,
          this,
          name -> counted.merge(name, 1, Integer::sum),
          (decision, subject, fields) -> lines.add(new Line(decision, subject, List.of(fields))),
          Clock::steadyMicros);
  private final InetSocketAddress address =
      transport.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).get();
  private RawServer server;

  @AfterEach
  void close() throws IOException {
    loops.close();
    if (server != null) {
      server.close();
    }
  }

  @Override
  public void deliver(CoreEvent event) {
    if (event instanceof ForwardEvent.Requested requested) {
      transport.carryOut(
          new ForwardCommand.Send(
              requested.request(),
              1,
              PlainRequestForm.dispatch(server.address(), Optional.empty())));
    } else if (event instanceof ForwardEvent.ResponseReceived answered) {
      transport.carryOut(
          new ForwardCommand.Relay(answered.request(), answered.attempt(), Optional.empty()));
      responseHeadArrived.countDown();
    }
  }

  @ParameterizedTest
  @EnumSource(End.class)
  void theLineNamesTheRequestAndTheReason(End end) throws Exception {
    server =
        new RawServer(
            request ->
                "HTTP/1.1 200 OK\r\nid: request-0\r\nContent-Length: 2\r\n\r\n1"
                    + RawServer.PAUSE
                    + "2");
    try (PlainCaller caller = new PlainCaller(address)) {
      caller.send("request-0");
      caller.send("request-1");
      assertThat(responseHeadArrived.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
      // A byte of the response shows that it is being relayed.
      assertThat(caller.input().read()).isEqualTo('H');
      end.happen(this, caller);
      Line line = lines.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);

      assertThat(line.decision()).isEqualTo(Decision.CONNECTION_CLOSED);
      assertThat(line.subject()).isEqualTo("request-0");
      assertThat(line.fields()).containsAtLeast("outcome", end.code(), "queued", 1);
      assertThat(counted).containsEntry("callers.closed-over-request-" + end.code(), 1);
      assertThat(lines).isEmpty();
    }
  }

  @Test
  void aRequestThatArrivesOnAClosedConnectionHasALine() throws Exception {
    server =
        new RawServer(request -> "HTTP/1.1 200 OK\r\nid: request-0\r\nContent-Length: 0\r\n\r\n");
    try (PlainCaller caller = new PlainCaller(address)) {
      transport.drain(Long.MAX_VALUE, () -> {});
      caller.send("request-0");
      // Reads the response, until the connection is closed.
      assertThat(caller.input().readAllBytes()).isNotEmpty();
      caller.send("request-1");
      Line line = lines.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);

      assertThat(line.decision()).isEqualTo(Decision.CONNECTION_CLOSED);
      assertThat(line.subject()).isEqualTo("request-1");
      assertThat(line.fields()).containsAtLeast("outcome", "discarded", "draining", true);
      assertThat(counted).containsEntry("callers.discarded-after-close", 1);
    }
  }
}
