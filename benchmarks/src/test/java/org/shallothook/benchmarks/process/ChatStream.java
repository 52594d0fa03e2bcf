package org.shallothook.benchmarks.process;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/** One streamed answer as its caller sees it. Thread-safe. */
final class ChatStream {
  private final StringBuilder text = new StringBuilder();
  private final AtomicInteger parts = new AtomicInteger();
  private final CompletableFuture<String> end;

  private ChatStream(HttpRequest request) {
    end =
        Http.CLIENT
            .sendAsync(request, HttpResponse.BodyHandlers.ofLines())
            .thenApplyAsync(this::read);
  }

  /** Asks for an answer of a number of tokens. */
  static ChatStream open(int port, String key, String question, int tokens) {
    JsonObject message = new JsonObject();
    message.addProperty("role", "user");
    message.addProperty("content", question + " answer-tokens:" + tokens);
    JsonArray messages = new JsonArray();
    messages.add(message);
    JsonObject body = new JsonObject();
    body.addProperty("model", "m");
    body.addProperty("stream", true);
    body.addProperty("max_tokens", tokens);
    body.add("messages", messages);
    return new ChatStream(
        HttpRequest.newBuilder(Http.uri(port, "/v1/chat/completions"))
            .header("Authorization", "Bearer " + key)
            .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
            .build());
  }

  int parts() {
    return parts.get();
  }

  boolean hasEnded() {
    return end.isDone();
  }

  /** Waits for the end: {@code done}, {@code cut}, or the error that ended it. */
  String end() throws Exception {
    return end.get(120, TimeUnit.SECONDS);
  }

  String text() {
    return text.toString();
  }

  private String read(HttpResponse<Stream<String>> response) {
    if (response.statusCode() != 200) {
      return response.statusCode() + " " + String.join("", response.body().toList());
    }
    String last = "cut";
    for (String line : (Iterable<String>) response.body()::iterator) {
      if (line.equals("data: [DONE]")) {
        last = "done";
      } else if (line.startsWith("data: {\"error\"")) {
        last = line;
      } else if (line.startsWith("data: ")) {
        add(JsonParser.parseString(line.substring("data: ".length())).getAsJsonObject());
      }
    }
    return last;
  }

  private void add(JsonObject chunk) {
    JsonObject delta =
        chunk.getAsJsonArray("choices").get(0).getAsJsonObject().getAsJsonObject("delta");
    if (delta.has("content") && !delta.get("content").getAsString().isEmpty()) {
      text.append(delta.get("content").getAsString());
      parts.incrementAndGet();
    }
  }
}
