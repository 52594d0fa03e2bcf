package org.shallothook.transport.platform;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.metrics.TransportMetrics;

/** Sends calls to a server that answers the first one twice. */
@Timeout(60)
final class SecondAnswerTest {
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);
  private static final String FIRST = ScriptedServer.response(200, "first");
  private static final String SECOND = ScriptedServer.response(200, "second");
  private static final int PART = "HTTP/1.1 2".length();

  private final EventLoops loops = EventLoops.create(1);
  private final TransportMetrics metrics = new TransportMetrics();
  private final HttpClient client = new HttpClient(loops.internal(), HttpSettings.DEFAULT, metrics);
  private ScriptedServer server;

  /** When the second answer to the first call arrives. */
  private enum Arrival {
    /** Together with the first answer. */
    WITH_THE_FIRST(FIRST + FIRST),
    /** In part together with the first answer, the rest after the next request was written. */
    IN_PARTS(FIRST + FIRST.substring(0, PART) + ScriptedServer.THEN_LATE + FIRST.substring(PART)),
    /** While no call is open. */
    WHILE_IDLE(FIRST + ScriptedServer.THEN_LATE + FIRST) {
      @Override
      void beforeNext(ScriptedServer server, EventLoop loop, Runnable next) throws Exception {
        server.sendLateText();
        next.run();
      }
    },
    /** Before the next request is written, while the client's event loop is busy. */
    UNREAD(FIRST + ScriptedServer.THEN_LATE + FIRST) {
      @Override
      void beforeNext(ScriptedServer server, EventLoop loop, Runnable next) throws Exception {
        CountDownLatch isLate = new CountDownLatch(1);
        loop.execute(() -> await(isLate));
        next.run();
        server.sendLateText();
        isLate.countDown();
      }
    },
    /** After the next request was written. */
    AFTER_THE_NEXT(FIRST + ScriptedServer.THEN_LATE + FIRST);

    private final String step;

    Arrival(String step) {
      this.step = step;
    }

    void beforeNext(ScriptedServer server, EventLoop loop, Runnable next) throws Exception {
      next.run();
    }

    private static void await(CountDownLatch latch) {
      try {
        latch.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Kinds of calls. */
  private enum Kind {
    REPORT {
      @Override
      HttpCall to(InetSocketAddress address) {
        return HttpCall.get(address, "/v1/report", LONG_TIMEOUT).acceptingEarlierAnswer();
      }
    },
    STATUS {
      @Override
      HttpCall to(InetSocketAddress address) {
        return HttpCall.get(address, "/v1/status", LONG_TIMEOUT).acceptingEarlierAnswer();
      }
    },
    READ {
      @Override
      HttpCall to(InetSocketAddress address) {
        return HttpCall.get(address, "/v1/log-read?from=4", LONG_TIMEOUT);
      }
    },
    READ_ELSEWHERE {
      @Override
      HttpCall to(InetSocketAddress address) {
        return HttpCall.get(address, "/v1/log-read?from=9", LONG_TIMEOUT);
      }
    },
    APPEND {
      @Override
      HttpCall to(InetSocketAddress address) {
        ByteBuffer body = ByteBuffer.allocate(8);
        return HttpCall.postBytes(address, "/v1/log-append", body, LONG_TIMEOUT);
      }
    },
    ORDER {
      @Override
      HttpCall to(InetSocketAddress address) {
        return HttpCall.postJson(address, "/v1/order", "{}", LONG_TIMEOUT);
      }
    },
    CANCEL {
      @Override
      HttpCall to(InetSocketAddress address) {
        return HttpCall.delete(address, "/v1/completions/1", LONG_TIMEOUT);
      }
    };

    boolean needsOwnAnswer() {
      return this != REPORT && this != STATUS;
    }

    abstract HttpCall to(InetSocketAddress address);
  }

  @BeforeEach
  void start() throws Exception {
    server = new ScriptedServer();
  }

  @AfterEach
  void close() throws Exception {
    server.close();
    loops.close();
  }

  static Stream<Arguments> secondAnswers() {
    return Stream.of(Arrival.values())
        .flatMap(
            arrival ->
                Stream.of(Kind.values())
                    .flatMap(
                        first ->
                            Stream.of(Kind.values())
                                .filter(next -> next != first || next.needsOwnAnswer())
                                .map(next -> Arguments.of(arrival, first, next))));
  }

  // Guards against a late second answer being taken for that to the next call on its connection.
  @ParameterizedTest
  @MethodSource("secondAnswers")
  void aSecondAnswerIsNotTakenForThatToTheNextCall(Arrival arrival, Kind first, Kind next)
      throws Exception {
    server.then(arrival.step).then(SECOND);

    assertThat(bodyOf(send(first.to(server.address())))).isEqualTo("first");
    CompletableFuture<HttpResult> result = new CompletableFuture<>();
    arrival.beforeNext(
        server, loops.internal(), () -> client.send(next.to(server.address()), result::complete));

    assertThat(bodyOf(result)).isEqualTo("second");
  }

  // Guards against data that arrived before a call, or was left undecoded, beginning its response.
  @ParameterizedTest
  @EnumSource(
      names = {"AFTER_THE_NEXT"},
      mode = EnumSource.Mode.EXCLUDE)
  void aConnectionOnWhichASecondAnswerHasArrivedIsNotUsedAgain(Arrival arrival) throws Exception {
    server.then(arrival.step).then(SECOND);

    assertThat(bodyOf(send(Kind.REPORT.to(server.address())))).isEqualTo("first");
    CompletableFuture<HttpResult> result = new CompletableFuture<>();
    arrival.beforeNext(
        server,
        loops.internal(),
        () -> client.send(Kind.REPORT.to(server.address()), result::complete));

    assertThat(bodyOf(result)).isEqualTo("second");
    assertThat(metrics.count("platform.connections-surplus-data")).isEqualTo(1);
  }

  // Guards against every later answer being that to the call before.
  @Test
  void anEarlierReportIsFollowedByACurrentOne() throws Exception {
    server
        .then(Arrival.AFTER_THE_NEXT.step)
        .then(SECOND)
        .then(ScriptedServer.response(200, "third"));

    for (String expected : List.of("first", "first", "third")) {
      assertThat(bodyOf(send(Kind.REPORT.to(server.address())))).isEqualTo(expected);
    }
    assertThat(server.connections()).isEqualTo(2);
  }

  // Guards against a connection that is never idle for long staying a turn behind for good.
  @Test
  void aConnectionIsNotUsedAgainAfterItsTime() throws Exception {
    HttpSettings settings = new HttpSettings(LONG_TIMEOUT, LONG_TIMEOUT, Duration.ZERO, 2, 1_000);
    HttpClient shortLived = new HttpClient(loops.internal(), settings, metrics);
    server.then(FIRST).then(SECOND);

    for (String expected : List.of("first", "second")) {
      CompletableFuture<HttpResult> result = new CompletableFuture<>();
      shortLived.send(Kind.REPORT.to(server.address()), result::complete);
      assertThat(bodyOf(result)).isEqualTo(expected);
    }
    assertThat(server.connections()).isEqualTo(2);
  }

  private CompletableFuture<HttpResult> send(HttpCall call) {
    CompletableFuture<HttpResult> result = new CompletableFuture<>();
    client.send(call, result::complete);
    return result;
  }

  private static String bodyOf(CompletableFuture<HttpResult> result) throws Exception {
    return ((HttpResult.Answered) result.get(20, TimeUnit.SECONDS)).body();
  }
}
