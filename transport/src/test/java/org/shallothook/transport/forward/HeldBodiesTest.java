package org.shallothook.transport.forward;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.PooledByteBufAllocator;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongPredicate;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.shallothook.coordination.forward.Dispatch;
import org.shallothook.coordination.forward.ForwardCommand;
import org.shallothook.coordination.forward.ForwardEvent;
import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.route.CallerLimits;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.process.Clock;

/** Bounds the sum of the request bodies that callers make a process hold. */
@Timeout(60)
final class HeldBodiesTest implements OpenEventSink {
  private static final int MAXIMUM_HELD_BYTES = 4 << 20;

  /** Direct memory of a process whose default is the maximum above. */
  private static final int DIRECT_BYTES = 2 * MAXIMUM_HELD_BYTES;

  private static final int LARGE_BODIES = 20;
  private static final int LARGE_BODY_BYTES = 1_000_000;
  private static final int PARTS = 20;
  private static final long POLL_NANOS = 10_000_000;
  private static final int SMALL_REQUESTS = 300;
  private static final int SMALL_BODY_BYTES = 600;
  private static final int UNREAD_RESPONSES = 10;
  private static final String LARGE = "large";
  private static final String ENDLESS = "endless";

  private final EventLoops loops = EventLoops.create(1);
  private final ExecutorService callers = Executors.newCachedThreadPool();
  private final List<PlainCaller> open = new ArrayList<>();
  private final ForwardTransport transport =
      new ForwardTransport(
          loops.internal(),
          new PlainRequestForm(),
          ForwardSettings.DEFAULT.withMaximumHeldBytes(MAXIMUM_HELD_BYTES),
          this,
          Counters.NONE,
          DecisionJournal.NONE,
          Clock::steadyMicros);
  private final InetSocketAddress address =
      transport.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).get();
  private RawServer server;

  /** How a caller tells where its body ends. */
  private enum Framing {
    LENGTH {
      @Override
      String header(int bytes) {
        return "Content-Length: " + bytes;
      }

      @Override
      String part(String bytes) {
        return bytes;
      }

      @Override
      String end() {
        return "";
      }
    },
    CHUNKS {
      @Override
      String header(int bytes) {
        return "Transfer-Encoding: chunked";
      }

      @Override
      String part(String bytes) {
        return Integer.toHexString(bytes.length()) + "\r\n" + bytes + "\r\n";
      }

      @Override
      String end() {
        return "0\r\n\r\n";
      }
    };

    abstract String header(int bytes);

    abstract String part(String bytes);

    abstract String end();
  }

  @BeforeEach
  void start() throws IOException {
    server = new RawServer(HeldBodiesTest::answer);
    CallerLimits limits = CallerLimits.DEFAULT;
    assertThat(limits.bodyBytes()).isAtLeast(LARGE_BODY_BYTES);
  }

  @AfterEach
  void close() throws IOException {
    loops.close();
    server.close();
    callers.shutdownNow();
    for (PlainCaller caller : open) {
      caller.close();
    }
  }

  @Override
  public void deliver(CoreEvent event) {
    if (event instanceof ForwardEvent.Requested requested) {
      Dispatch dispatch = PlainRequestForm.dispatch(server.address(), Optional.empty());
      transport.carryOut(new ForwardCommand.Send(requested.request(), 1, dispatch));
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

  /** Answers a large request only when the test proceeds, so that its body is held until then. */
  private static String answer(String request) {
    String id = request.lines().filter(line -> line.startsWith("id: ")).findFirst().orElseThrow();
    String head = "HTTP/1.1 200 OK\r\n" + id + "\r\n";
    if (id.contains(ENDLESS)) {
      String chunk = "1f40\r\n" + "x".repeat(8_000) + "\r\n";
      return head + "Transfer-Encoding: chunked\r\n\r\n" + RawServer.REPEAT_FOREVER + chunk;
    }
    String whole = head + "Content-Length: 4\r\n\r\ndone";
    return id.contains(LARGE) ? RawServer.PAUSE + whole : whole;
  }

  private static String head(String id, String... headerLines) {
    return "POST /a HTTP/1.1\r\nHost: h\r\nid: "
        + id
        + "\r\n"
        + String.join("\r\n", headerLines)
        + "\r\n\r\n";
  }

  private static String smallRequest(String id) {
    return head(id, Framing.LENGTH.header(SMALL_BODY_BYTES)) + "b".repeat(SMALL_BODY_BYTES);
  }

  private PlainCaller caller() throws IOException {
    PlainCaller caller = new PlainCaller(address);
    open.add(caller);
    return caller;
  }

  /** Sends a large body in parts, and reads the head of the response only afterwards. */
  private static String upload(
      PlainCaller caller, String id, Framing framing, CountDownLatch written) throws IOException {
    caller.write(head(id, framing.header(LARGE_BODY_BYTES)));
    for (int part = 0; part < PARTS; part++) {
      caller.write(framing.part("u".repeat(LARGE_BODY_BYTES / PARTS)));
    }
    caller.write(framing.end());
    written.countDown();
    return caller.readHead();
  }

  private long heldBytes() throws Exception {
    return loops.internal().submit(transport::heldBytes).get();
  }

  private static long directBytes() {
    return ((PooledByteBufAllocator) EventLoops.ALLOCATOR).metric().usedDirectMemory();
  }

  private void awaitHeld(LongPredicate condition) throws Exception {
    while (!condition.test(heldBytes())) {
      LockSupport.parkNanos(POLL_NANOS);
    }
  }

  private void awaitNothingHeld() throws Exception {
    awaitHeld(bytes -> bytes == 0);
  }

  /**
   * Guards against a process that hangs in an allocation because many large bodies, each within the
   * limit of the configuration, are received at once.
   */
  @ParameterizedTest
  @EnumSource(Framing.class)
  void largeBodiesAreBoundedInSumAndSmallRequestsGoOn(Framing framing) throws Exception {
    long directBytesBefore = directBytes();
    for (int number = 0; number < UNREAD_RESPONSES; number++) {
      PlainCaller unread = PlainCaller.withSmallBuffer(address);
      open.add(unread);
      unread.write(smallRequest(ENDLESS + number));
    }
    List<Future<String>> uploads = new ArrayList<>();
    CountDownLatch written = new CountDownLatch(LARGE_BODIES);
    for (int number = 0; number < LARGE_BODIES; number++) {
      PlainCaller caller = caller();
      String id = LARGE + number;
      uploads.add(callers.submit(() -> upload(caller, id, framing, written)));
    }

    PlainCaller small = caller();
    long mostHeldBytes = 0;
    long mostDirectBytes = 0;
    for (int number = 0; number < SMALL_REQUESTS || written.getCount() > 0; number++) {
      small.write(smallRequest("small" + number));
      assertThat(small.readStatus()).isEqualTo("HTTP/1.1 200");
      mostHeldBytes = Math.max(mostHeldBytes, heldBytes());
      mostDirectBytes = Math.max(mostDirectBytes, directBytes() - directBytesBefore);
    }
    uploads.forEach(upload -> server.proceed());
    List<String> refused = new ArrayList<>();
    for (Future<String> upload : uploads) {
      String head = upload.get();
      if (!head.startsWith("HTTP/1.1 200")) {
        refused.add(head);
      }
    }

    assertThat(mostHeldBytes).isAtMost(MAXIMUM_HELD_BYTES);
    assertThat(mostDirectBytes).isAtMost(DIRECT_BYTES);
    assertThat(refused).isNotEmpty();
    for (String head : refused) {
      assertThat(head).startsWith("HTTP/1.1 503");
      assertThat(head.toLowerCase(Locale.ROOT)).containsMatch("retry-after: 0\\.\\d+\r\n");
    }
    long served =
        server.requests().stream().filter(request -> request.contains("id: " + LARGE)).count();
    assertThat(served).isAtLeast(1);
    assertThat(served).isEqualTo(LARGE_BODIES - refused.size());
  }

  private static Stream<Arguments> requestsWithoutRoom() {
    String declared = Framing.LENGTH.header(LARGE_BODY_BYTES);
    String refusal = "HTTP/1.1 503";
    return Stream.of(
        Arguments.of(head(LARGE, declared), List.of(refusal)),
        Arguments.of(head(LARGE, declared, "Expect: 100-continue"), List.of(refusal)),
        Arguments.of(
            smallRequest("small") + head(LARGE, declared), List.of("HTTP/1.1 200", refusal)));
  }

  /** Guards against callers who are asked for a body, or must send it, before it is refused. */
  @ParameterizedTest
  @MethodSource("requestsWithoutRoom")
  void aDeclaredBodyWithoutRoomIsRefusedAtOnce(String request, List<String> statuses)
      throws Exception {
    List<PlainCaller> stalled = new ArrayList<>();
    for (int number = 0; number < 3; number++) {
      PlainCaller caller = caller();
      caller.write(head(LARGE + number, Framing.LENGTH.header(LARGE_BODY_BYTES)));
      stalled.add(caller);
    }
    awaitHeld(bytes -> bytes >= stalled.size() * (long) LARGE_BODY_BYTES);

    PlainCaller next = caller();
    next.write(request);

    assertThat(next.readStatuses(statuses.size() + 1)).isEqualTo(statuses);
    for (PlainCaller caller : stalled) {
      caller.close();
    }
    awaitNothingHeld();
    server.proceed();
    assertThat(upload(caller(), LARGE, Framing.LENGTH, new CountDownLatch(1)))
        .startsWith("HTTP/1.1 200");
    awaitNothingHeld();
  }

  /** Guards against bodies of unknown length that need far more memory than their bytes. */
  @Test
  void aBodyOfManySmallPartsNeedsLittleMoreThanItsBytes() throws Exception {
    int parts = 2_000;
    PlainCaller caller = caller();
    caller.write(head("parts", Framing.CHUNKS.header(parts)));
    for (int part = 0; part < parts; part++) {
      caller.write(Framing.CHUNKS.part("u"));
    }
    awaitHeld(bytes -> bytes >= parts);

    assertThat(heldBytes()).isAtMost(2L * parts);
    caller.write(Framing.CHUNKS.end());
    assertThat(caller.readStatus()).isEqualTo("HTTP/1.1 200");
    String received = server.requests().get(0);
    assertThat(received).endsWith("\r\n\r\n" + "u".repeat(parts));
    awaitNothingHeld();
  }
}
