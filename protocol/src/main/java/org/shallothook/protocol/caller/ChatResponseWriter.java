package org.shallothook.protocol.caller;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RequestId;

/**
 * Writes the response to a chat request in the OpenAI format, streamed or not.
 *
 * <p>Invariant: {@link #END_OF_STREAM} is only sent after {@link #finalChunk}, so that an
 * incomplete answer never has an end marker. Immutable and thread-safe.
 */
public final class ChatResponseWriter {
  /** Last event of a complete stream. */
  public static final String END_OF_STREAM = "data: [DONE]\n\n";

  private static final Gson GSON =
      new GsonBuilder().serializeNulls().disableHtmlEscaping().create();

  private final RequestId request;
  private final String model;
  private final long createdSeconds;

  /**
   * Creates a writer for the response to one request.
   *
   * @param request identifier of the request
   * @param model model name as the caller sent it
   * @param createdSeconds arrival time of the request, in seconds since the epoch
   */
  public ChatResponseWriter(RequestId request, String model, long createdSeconds) {
    this.request = request;
    this.model = model;
    this.createdSeconds = createdSeconds;
  }

  /** Returns the first event of a stream, which contains the role. */
  public String firstChunk() {
    JsonObject delta = new JsonObject();
    delta.addProperty("role", "assistant");
    delta.addProperty("content", "");
    return chunk(delta, JsonNull.INSTANCE);
  }

  /** Returns an event with a part of the text. */
  public String textChunk(String text) {
    JsonObject delta = new JsonObject();
    delta.addProperty("content", text);
    return chunk(delta, JsonNull.INSTANCE);
  }

  /** Returns the final chunk of a complete stream, with the finish reason and the usage. */
  public String finalChunk(String finishReason, int tokens, int cachedTokens) {
    JsonObject root = root("chat.completion.chunk");
    root.add("choices", choices("delta", new JsonObject(), GSON.toJsonTree(finishReason)));
    root.add("usage", usage(tokens, cachedTokens));
    return event(root);
  }

  /** Returns the body of a response that is not streamed. */
  public String unstreamedBody(String text, String finishReason, int tokens, int cachedTokens) {
    JsonObject message = new JsonObject();
    message.addProperty("role", "assistant");
    message.addProperty("content", text);
    JsonObject root = root("chat.completion");
    root.add("choices", choices("message", message, GSON.toJsonTree(finishReason)));
    root.add("usage", usage(tokens, cachedTokens));
    return GSON.toJson(root);
  }

  /** Returns the error event that ends an incomplete stream. */
  public static String errorEvent(RequestId request, Refusal refusal) {
    return "event: error\ndata: " + ErrorResponseWriter.body(request, refusal) + "\n\n";
  }

  private String chunk(JsonObject delta, JsonElement finishReason) {
    JsonObject root = root("chat.completion.chunk");
    root.add("choices", choices("delta", delta, finishReason));
    return event(root);
  }

  private JsonObject root(String object) {
    JsonObject root = new JsonObject();
    root.addProperty("id", request.value());
    root.addProperty("object", object);
    root.addProperty("created", createdSeconds);
    root.addProperty("model", model);
    return root;
  }

  private static JsonArray choices(String name, JsonObject value, JsonElement finishReason) {
    JsonObject choice = new JsonObject();
    choice.addProperty("index", 0);
    choice.add(name, value);
    choice.add("finish_reason", finishReason);
    JsonArray choices = new JsonArray();
    choices.add(choice);
    return choices;
  }

  private static JsonObject usage(int tokens, int cachedTokens) {
    JsonObject details = new JsonObject();
    details.addProperty("cached_tokens", cachedTokens);
    JsonObject usage = new JsonObject();
    usage.addProperty("completion_tokens", tokens);
    usage.add("prompt_tokens_details", details);
    return usage;
  }

  private static String event(JsonObject root) {
    return "data: " + GSON.toJson(root) + "\n\n";
  }
}
