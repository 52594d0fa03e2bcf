package org.shallothook.benchmarks.load;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Flow;

/** Sends chats to the routers in turn, as callers do. */
final class RouterArm implements Arm {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);

  private final List<String> routers;
  private final int tokens;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  RouterArm(List<String> routers, int tokens) {
    this.routers = List.copyOf(routers);
    this.tokens = tokens;
  }

  @Override
  public void send(LoadPrompt prompt, int number, Reply reply) {
    String router = routers.get(number % routers.size());
    HttpRequest request = request(router, prompt);
    var unused =
        client
            .sendAsync(
                request,
                head ->
                    HttpResponse.BodySubscribers.fromLineSubscriber(
                        new Lines(reply), Lines::isComplete, StandardCharsets.UTF_8, null))
            .whenComplete((answer, failure) -> reply.ended(failure == null && answer.body()));
  }

  /** Returns the request that asks a router. */
  HttpRequest request(String router, LoadPrompt prompt) {
    return HttpRequest.newBuilder(URI.create("http://" + router + "/v1/chat/completions"))
        .timeout(REQUEST_TIMEOUT)
        .header("Authorization", "Bearer " + prompt.team().key())
        .header("Content-Type", "application/json")
        .POST(HttpRequest.BodyPublishers.ofString(body(prompt)))
        .build();
  }

  @Override
  public void close() {
    // The client ends its connections with the process.
  }

  private String body(LoadPrompt prompt) {
    JsonObject message = new JsonObject();
    message.addProperty("role", "user");
    message.addProperty("content", prompt.question());
    JsonArray messages = new JsonArray();
    messages.add(message);
    JsonObject body = new JsonObject();
    body.addProperty("model", prompt.team().model());
    body.addProperty("tenant", prompt.tenant());
    body.addProperty("stream", true);
    body.addProperty("max_tokens", tokens);
    body.add("messages", messages);
    return body.toString();
  }

  /** Reads the events of one answer. Used by one subscription. */
  private static final class Lines implements Flow.Subscriber<String> {
    private final Reply reply;
    private boolean hasFirst;
    private boolean isComplete;

    Lines(Reply reply) {
      this.reply = reply;
    }

    boolean isComplete() {
      return isComplete;
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
      subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
      if (!hasFirst && line.startsWith("data: ")) {
        hasFirst = true;
        reply.firstToken();
      }
      isComplete |= line.equals("data: [DONE]");
    }

    @Override
    public void onError(Throwable failure) {
      isComplete = false;
    }

    @Override
    public void onComplete() {
      // The whole answer tells whether it is complete.
    }
  }
}
