package org.shallothook.transport.admin;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.shallothook.coordination.retry.RetryReason;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.transport.Addresses;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.metrics.TransportMetrics;

@Timeout(60)
final class AdminServerTest {
  private final EventLoops loops = EventLoops.create(1);
  private final TransportMetrics metrics = new TransportMetrics();
  private final AtomicBoolean isLeaving = new AtomicBoolean();
  private final HttpClient http = HttpClient.newHttpClient();
  private final InetSocketAddress address =
      new AdminServer(loops.internal(), metrics.registry(), isLeaving::get)
          .get(
              "/explain",
              request -> CompletableFuture.completedFuture(AdminResponse.ok(request.path())))
          .post(
              "/publish",
              request -> CompletableFuture.completedFuture(AdminResponse.json(202, request.body())))
          .get("/failing", request -> CompletableFuture.failedFuture(new Exception("expected")))
          .listen(Addresses.parse("127.0.0.1:0"))
          .get();

  @AfterEach
  void close() {
    loops.close();
  }

  // Guards against the answer to a second request being taken for that to the first.
  @Test
  void aSecondRequestOnAConnectionIsNotAnswered() {
    CompletableFuture<AdminResponse> first = new CompletableFuture<>();
    AdminHandler quick = request -> CompletableFuture.completedFuture(AdminResponse.ok("second"));
    EmbeddedChannel channel =
        new EmbeddedChannel(
            new AdminConnection(
                Map.of(HttpMethod.GET, Map.of("/slow", request -> first, "/quick", quick))));
    for (String path : List.of("/slow", "/quick")) {
      channel.writeInbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path));
    }
    first.complete(AdminResponse.ok("first"));
    FullHttpResponse response = channel.readOutbound();

    assertThat(response.content().toString(StandardCharsets.UTF_8)).isEqualTo("first");
    assertThat(channel.<Object>readOutbound()).isNull();
    response.release();
  }

  @Test
  void healthReportsLeaving() throws Exception {
    HttpResponse<String> serving = get("/healthz");
    isLeaving.set(true);
    HttpResponse<String> leaving = get("/healthz");

    assertThat(serving.statusCode()).isEqualTo(200);
    assertThat(serving.body()).isEqualTo("{\"state\":\"serving\"}");
    assertThat(leaving.statusCode()).isEqualTo(503);
    assertThat(leaving.body()).isEqualTo("{\"state\":\"leaving\"}");
  }

  @ParameterizedTest
  @EnumSource(RefusalReason.class)
  void everyRefusalReasonHasACounter(RefusalReason reason) throws Exception {
    metrics.refused(reason);
    String text = get("/metrics").body();

    assertThat(text).contains("shallothook_refusals_total{reason=\"" + reason.code() + "\"} 1\n");
  }

  @ParameterizedTest
  @EnumSource(RetryReason.class)
  void everyRetryReasonHasACounter(RetryReason reason) throws Exception {
    assertThat(get("/metrics").body())
        .contains("shallothook_retries_total{reason=\"" + reason.code() + "\"} 0\n");
  }

  @Test
  void metricsAreJsonWhereAskedFor() throws Exception {
    metrics.recordTimeToFirstToken(2_000);

    assertThat(get("/metrics?format=json").body()).contains("\"caller.time-to-first-token\"");
    assertThat(get("/metrics").body())
        .contains("shallothook_caller_time_to_first_token_seconds{quantile=\"0.5\"} 0.002\n");
  }

  @Test
  void handlersGetThePathBelowTheirsAndTheBody() throws Exception {
    assertThat(get("/explain/r-1").body()).isEqualTo("r-1");
    HttpRequest post =
        HttpRequest.newBuilder(uri("/publish"))
            .POST(HttpRequest.BodyPublishers.ofString("{}"))
            .build();
    HttpResponse<String> response = http.send(post, HttpResponse.BodyHandlers.ofString());

    assertThat(response.statusCode()).isEqualTo(202);
    assertThat(response.body()).isEqualTo("{}");
  }

  @Test
  void unknownPathsAndFailuresHaveTheirStatus() throws Exception {
    assertThat(get("/explained").statusCode()).isEqualTo(404);
    assertThat(get("/publish").statusCode()).isEqualTo(404);
    assertThat(get("/failing").statusCode()).isEqualTo(500);
  }

  private HttpResponse<String> get(String path) throws Exception {
    HttpRequest request = HttpRequest.newBuilder(uri(path)).build();
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private URI uri(String path) {
    return URI.create("http://127.0.0.1:" + address.getPort() + path);
  }
}
