package org.shallothook.benchmarks.process;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Requests to processes under test. Stateless and thread-safe. */
final class Http {
  static final HttpClient CLIENT =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private static final Duration LONGEST_WAIT = Duration.ofSeconds(60);

  private Http() {}

  static HttpResponse<String> get(int port, String path) throws Exception {
    return send(HttpRequest.newBuilder(uri(port, path)).timeout(LONGEST_WAIT).build());
  }

  static JsonObject json(int port, String path) throws Exception {
    return JsonParser.parseString(get(port, path).body()).getAsJsonObject();
  }

  static HttpResponse<String> post(int port, String path, String body, String... headers)
      throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(uri(port, path))
            .timeout(LONGEST_WAIT)
            .POST(HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    return send(request.build());
  }

  static CompletableFuture<HttpResponse<String>> postAsync(int port, String path, String body) {
    HttpRequest request =
        HttpRequest.newBuilder(uri(port, path))
            .timeout(LONGEST_WAIT)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return CLIENT.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  static URI uri(int port, String path) {
    return URI.create("http://127.0.0.1:" + port + path);
  }

  private static HttpResponse<String> send(HttpRequest request) throws Exception {
    return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
  }
}
