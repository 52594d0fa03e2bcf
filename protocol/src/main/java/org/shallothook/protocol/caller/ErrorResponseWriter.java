package org.shallothook.protocol.caller;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonObject;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RequestId;

/**
 * Writes the response to a refused request.
 *
 * <p>Stateless and thread-safe.
 */
public final class ErrorResponseWriter {
  private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();
  private static final long MICROS_PER_SECOND = 1_000_000;

  private ErrorResponseWriter() {}

  /** Returns {@code {"error":{"code","message","outcome","request_id"}}}. */
  public static String body(RequestId request, Refusal refusal) {
    JsonObject error = new JsonObject();
    error.addProperty("code", refusal.reason().code());
    error.addProperty("message", message(refusal));
    error.addProperty("outcome", refusal.outcome().headerValue());
    error.addProperty("request_id", request.value());
    JsonObject root = new JsonObject();
    root.add("error", error);
    return GSON.toJson(root);
  }

  /**
   * Returns the value of {@code Retry-After}: whole seconds, rounded up, at least 1.
   *
   * @param retryAtMicros earliest time of a retry, in microseconds since the epoch
   * @param nowMicros time of the response, in microseconds since the epoch
   */
  public static long retryAfterSeconds(long retryAtMicros, long nowMicros) {
    long waitMicros = Math.max(1, retryAtMicros - nowMicros);
    return (waitMicros - 1) / MICROS_PER_SECOND + 1;
  }

  private static String message(Refusal refusal) {
    String remedy = refusal.reason().remedy();
    return refusal.detail().isBlank() ? remedy : refusal.detail() + " " + remedy;
  }
}
