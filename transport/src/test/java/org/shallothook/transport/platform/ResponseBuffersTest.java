package org.shallothook.transport.platform;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class ResponseBuffersTest {
  private static final int MAXIMUM_RESPONSE_BYTES = 900;
  private static final int MAXIMUM_BUFFERED_BYTES = 1_000;

  private final ResponseBuffers buffers = new ResponseBuffers(MAXIMUM_BUFFERED_BYTES);
  private final List<HttpResult> endlessResults = new ArrayList<>();
  private final List<HttpResult> soundResults = new ArrayList<>();

  private BufferedResponse open(List<HttpResult> results) {
    HttpCall call =
        HttpCall.get(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), "/", Duration.ofSeconds(1));
    BufferedResponse response = new BufferedResponse(MAXIMUM_RESPONSE_BYTES, buffers, results::add);
    response.setExchange(new HttpExchange(call, response, false, exchange -> {}));
    response.started(200, new DefaultHttpHeaders());
    return response;
  }

  private static ByteBuffer part(int bytes) {
    return ByteBuffer.wrap("x".repeat(bytes).getBytes(StandardCharsets.US_ASCII));
  }

  /** Guards against many responses, each within its own limit, using up the memory together. */
  @Test
  void theLargestOfManyResponsesFailsAndTheOthersGoOn() {
    BufferedResponse endless = open(endlessResults);
    BufferedResponse sound = open(soundResults);

    endless.received(part(800));
    sound.received(part(300));
    sound.ended();

    assertThat(endlessResults).hasSize(1);
    assertThat(endlessResults.get(0)).isInstanceOf(HttpResult.Lost.class);
    assertThat(soundResults).containsExactly(new HttpResult.Answered(200, "", "x".repeat(300)));
  }

  /** Guards against a response that is counted although it does not buffer what it received. */
  @Test
  void aResponseWhoseNextPartDoesNotFitFailsItself() {
    BufferedResponse sound = open(soundResults);
    BufferedResponse endless = open(endlessResults);

    sound.received(part(300));
    endless.received(part(400));
    endless.received(part(400));
    sound.received(part(600));
    sound.ended();

    assertThat(endlessResults).hasSize(1);
    assertThat(soundResults).containsExactly(new HttpResult.Answered(200, "", "x".repeat(900)));
  }

  /** Guards against ended responses that stay counted, after which every other one would fail. */
  @Test
  void endedResponsesAreNoLongerCounted() {
    for (int number = 0; number < 3; number++) {
      BufferedResponse whole = open(soundResults);
      whole.received(part(800));
      whole.ended();
      BufferedResponse tooLarge = open(endlessResults);
      tooLarge.received(part(800));
      tooLarge.received(part(101));
    }

    assertThat(soundResults).hasSize(3);
    assertThat(endlessResults).hasSize(3);
    assertThat(((HttpResult.Lost) endlessResults.get(2)).isTooLarge()).isTrue();
  }
}
