package org.shallothook.benchmarks.demo;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Iterator;
import java.util.stream.Stream;

/**
 * Sends chats and bookings to a router as a caller would.
 *
 * <p>Thread-safe.
 */
final class ChatClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(40);
  private static final String DATA = "data: ";
  private static final String DONE = "[DONE]";

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CONNECT_TIMEOUT)
          .build();

  /** Streams one chat and returns what came back. */
  ChatResult chat(
      String router, ExampleDeployment.Team team, String tenant, String question, int tokens)
      throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + router + "/v1/chat/completions"))
            .timeout(REQUEST_TIMEOUT)
            .header("Authorization", "Bearer " + team.key())
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body(team, tenant, question, tokens)))
            .build();
    long sentNanos = System.nanoTime();
    HttpResponse<Stream<String>> response =
        client.send(request, HttpResponse.BodyHandlers.ofLines());
    try (Stream<String> lines = response.body()) {
      return response.statusCode() == 200
          ? readStream(lines.iterator(), sentNanos)
          : ChatResult.refused(codeOf(String.join("\n", lines.toList())));
    }
  }

  /** Makes one call to a service and returns its HTTP answer. */
  HttpResponse<String> call(
      String router,
      ExampleDeployment.Team team,
      String service,
      String idempotencyKey,
      String body)
      throws IOException, InterruptedException {
    URI address = URI.create("http://" + router + "/v1/services/" + service + "/bookings");
    HttpRequest request =
        HttpRequest.newBuilder(address)
            .timeout(REQUEST_TIMEOUT)
            .header("Authorization", "Bearer " + team.key())
            .header("Content-Type", "application/json")
            .header("Idempotency-Key", idempotencyKey)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  /** Returns the body of a page, or throws where it is not answered with 200. */
  String get(String address, String path) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(CONNECT_TIMEOUT)
            .build();
    HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
    if (response.statusCode() != 200) {
      throw new IOException(address + path + " answered " + response.statusCode());
    }
    return response.body();
  }

  /** Returns the refusal code in an error body, or the body where it has none. */
  static String codeOf(String body) {
    try {
      return JsonParser.parseString(body)
          .getAsJsonObject()
          .getAsJsonObject("error")
          .get("code")
          .getAsString();
    } catch (RuntimeException e) {
      return body;
    }
  }

  private static ChatResult readStream(Iterator<String> lines, long sentNanos) {
    long firstNanos = 0;
    boolean isComplete = false;
    String error = "stream-ended-early";
    while (lines.hasNext()) {
      String line = lines.next();
      if (!line.startsWith(DATA)) {
        continue;
      }
      String data = line.substring(DATA.length());
      if (data.equals(DONE)) {
        isComplete = true;
      } else if (data.contains("\"error\"")) {
        error = codeOf(data);
      } else if (firstNanos == 0) {
        firstNanos = System.nanoTime() - sentNanos;
      }
    }
    return isComplete ? ChatResult.complete(firstNanos) : ChatResult.refused(error);
  }

  private static String body(
      ExampleDeployment.Team team, String tenant, String question, int tokens) {
    JsonObject message = new JsonObject();
    message.addProperty("role", "user");
    message.addProperty("content", question);
    JsonArray messages = new JsonArray();
    messages.add(message);
    JsonObject body = new JsonObject();
    body.addProperty("model", team.model());
    body.addProperty("tenant", tenant);
    body.addProperty("stream", true);
    body.addProperty("max_tokens", tokens);
    body.add("messages", messages);
    return body.toString();
  }
}
