package org.shallothook.transport.caller;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;
import org.shallothook.coordination.router.RouterCommand;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.state.request.RequestId;
import org.shallothook.transport.Addresses;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.metrics.TransportMetrics;

/** Arbitrary bytes from one caller do not prevent the response to another caller's request. */
final class CallerBytesPropertyTest {
  private static final String MODELS = "GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n";
  private static final String CHAT =
      "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 64\r\n\r\n"
          + "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hej\"}]}     ";

  private final AtomicInteger ids = new AtomicInteger();
  private EventLoops loops;
  private ScriptedRouter router;
  private CallerServer server;
  private InetSocketAddress address;

  @BeforeProperty
  void start() {
    loops = EventLoops.create(1);
    router = new ScriptedRouter();
    Duration timeout = Duration.ofSeconds(20);
    server =
        new CallerServer(
            new CallerSettings(10_000, 20_000, 32_768, 1_000, timeout, timeout, timeout),
            loops.callers(),
            () -> new RequestId("r-" + ids.incrementAndGet()),
            router,
            new TransportMetrics(),
            () -> 7_000_000);
    address = server.listen(Addresses.parse("127.0.0.1:0")).get();
  }

  @AfterProperty
  void close() {
    loops.close();
  }

  @Property(seed = "99", tries = 300)
  void noBytesOfOneCallerPreventTheResponseToAnother(@ForAll("bytes") byte[] bytes)
      throws Exception {
    try (Socket hostile = new Socket(address.getAddress(), address.getPort());
        RawCaller other = new RawCaller(address)) {
      other.send(MODELS.substring(0, 20));
      write(hostile, bytes);
      other.send(MODELS.substring(20));
      RouterEvent event = router.nextRequest();
      while (!(event instanceof RouterEvent.ModelsRequested)) {
        event = router.nextRequest();
      }
      server.carryOut(
          new RouterCommand.AnswerModels(
              ((RouterEvent.ModelsRequested) event).request(), List.of("m")));

      assertThat(other.readUntil("]}")).startsWith("HTTP/1.1 200 ");
    }
  }

  private static void write(Socket socket, byte[] bytes) {
    try {
      socket.getOutputStream().write(bytes);
    } catch (IOException e) {
      // The server has closed the connection before all bytes were written.
      return;
    }
  }

  @Provide
  Arbitrary<byte[]> bytes() {
    byte[] chat = CHAT.getBytes(StandardCharsets.UTF_8);
    Arbitrary<byte[]> anything = Arbitraries.bytes().array(byte[].class).ofMaxSize(300);
    Arbitrary<byte[]> changed =
        Arbitraries.integers()
            .between(0, chat.length - 1)
            .flatMap(
                position ->
                    Arbitraries.bytes().map(value -> withByteReplaced(chat, position, value)));
    return Arbitraries.oneOf(anything, changed);
  }

  private static byte[] withByteReplaced(byte[] bytes, int position, byte value) {
    byte[] changed = bytes.clone();
    changed[position] = value;
    return changed;
  }
}
