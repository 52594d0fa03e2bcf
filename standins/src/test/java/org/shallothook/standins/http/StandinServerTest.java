package org.shallothook.standins.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.shallothook.standins.engine.EngineModel;
import org.shallothook.standins.engine.EngineSettings;
import org.shallothook.standins.log.LogModel;
import org.shallothook.standins.log.LogSettings;
import org.shallothook.state.cache.ModelVersion;

/** The HTTP forms over loopback sockets. */
@Timeout(60)
final class StandinServerTest {
  private static final InetSocketAddress ANY_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  private static final String HOUR = "{\"for_millis\": 3600000}";

  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final StandinClock clock = new StandinClock();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private InetSocketAddress address;
  private InetSocketAddress control;

  @AfterEach
  void endLoop() {
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private void serve(Standin standin) throws InterruptedException {
    StandinServer server =
        new StandinServer(loop, clock, "stand-in", standin, ANY_PORT, Optional.of(ANY_PORT));
    server.start();
    address = server.address();
    control = server.controlAddress().orElseThrow();
  }

  private void serveEngine() throws InterruptedException {
    EngineModel model =
        new EngineModel(
            "engine-1", EngineSettings.DEFAULT, List.of(ModelVersion.of("linen", "v1")));
    serve(new EngineStandin(model, new StandinClient(loop), clock, Optional.empty()));
  }

  private HttpResponse<String> send(InetSocketAddress target, String path, Optional<String> body)
      throws IOException, InterruptedException {
    URI uri = URI.create("http://127.0.0.1:" + target.getPort() + path);
    HttpRequest.Builder request = HttpRequest.newBuilder(uri);
    body.ifPresent(text -> request.POST(BodyPublishers.ofString(text)));
    return client.send(request.build(), BodyHandlers.ofString());
  }

  @Test
  void aStreamEndsWithItsFinishAndDone() throws Exception {
    serveEngine();
    String body =
        "{\"request_id\": \"r\", \"model\": \"linen\", \"version\": \"v1\", \"team\": \"t\","
            + " \"prompt\": \"answer-tokens:2\", \"max_tokens\": 9, \"priority\": 1}";
    String events = send(address, "/v1/completions", Optional.of(body)).body();
    assertThat(events).contains("\"position\":1,\"count\":1");
    assertThat(events).contains("{\"finish_reason\":\"stop\",\"position\":2,\"cached_blocks\":0}");
    assertThat(events).endsWith("data: [DONE]\n\n");
  }

  @Test
  void aMalformedRequestIsRefusedAndServingGoesOn() throws Exception {
    serveEngine();
    assertThat(send(address, "/v1/completions", Optional.of("{broken")).statusCode())
        .isEqualTo(400);
    assertThat(send(address, "/v1/completions", Optional.of("[]")).statusCode()).isEqualTo(400);
    assertThat(send(address, "/v1/status", Optional.empty()).statusCode()).isEqualTo(200);
  }

  @Test
  void aStandInThatIsDownRefusesConnectionsButForItsControlAddress() throws Exception {
    serveEngine();
    send(control, "/control/down", Optional.of(HOUR));
    assertThrows(ConnectException.class, () -> send(address, "/v1/status", Optional.empty()));
    assertThat(send(control, "/control/state", Optional.empty()).statusCode()).isEqualTo(200);
  }

  @Test
  void aLostAnswerOfTheLogHasTakenEffect() throws Exception {
    serve(new LogStandin(new LogModel(LogSettings.DEFAULT)));
    send(address, "/control/lose-answers", Optional.of("{\"count\": 1}"));
    String path = "/streams/leases/records";
    assertThrows(IOException.class, () -> send(address, path, Optional.of("first")));
    assertThat(send(address, path + "?from=0", Optional.empty()).body())
        .contains("\"payload\":\"first\"");
    send(address, "/control/outage", Optional.of(HOUR));
    assertThat(send(address, path, Optional.of("second")).statusCode()).isEqualTo(503);
  }
}
