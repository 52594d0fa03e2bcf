package org.shallothook.transport.platform;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.shallothook.coordination.port.Counters;
import org.shallothook.transport.EarlyAnswer;
import org.shallothook.transport.EventLoops;

/** A server answers without a length before it has read the request, and ends the connection. */
@Timeout(30)
final class EarlyAnswerTest {
  // Guards against a part of an answer that is taken for all of it.
  @ParameterizedTest
  @EnumSource(EarlyAnswer.class)
  void anAnswerThatEndsBeforeItsRequestIsWrittenIsLost(EarlyAnswer ending) throws Exception {
    CompletableFuture<HttpResult> result = new CompletableFuture<>();
    try (EventLoops loops = EventLoops.create(1);
        ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      HttpClient client = new HttpClient(loops.internal(), HttpSettings.DEFAULT, Counters.NONE);
      client.send(
          HttpCall.postBytes(
              (InetSocketAddress) server.getLocalSocketAddress(),
              "/",
              ByteBuffer.allocate(EarlyAnswer.REQUEST_BYTES),
              Duration.ofSeconds(20)),
          result::complete);
      try (Socket accepted = server.accept()) {
        ending.answer(accepted, "HTTP/1.1 200 OK\r\n");
        assertThat(result.get(20, TimeUnit.SECONDS)).isInstanceOf(HttpResult.Lost.class);
      }
    }
  }
}
