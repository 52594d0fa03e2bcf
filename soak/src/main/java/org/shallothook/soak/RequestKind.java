package org.shallothook.soak;

import com.google.gson.JsonObject;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import org.shallothook.soak.standins.ExpectedResponse;
import org.shallothook.soak.standins.ServerStandin;
import org.shallothook.soak.standins.StandinHeaders;

/**
 * Kinds of requests, each with its own route.
 *
 * <p>Immutable and thread-safe.
 */
enum RequestKind {
  /** A stream that may be resumed at another server. */
  RESUMABLE_STREAM("streaming", ServerStandin.MODEL_SERVICE, 2, true),
  /** A stream that may run at most once. */
  PLAIN_STREAM("streaming", ServerStandin.MODEL_SERVICE, 1, false),
  /** A call that may run at most once. */
  BOOKING("unsafe", ServerStandin.PLAIN_SERVICE, 1, false),
  /** A call that may be retried after it has run. */
  READ("safe", ServerStandin.PLAIN_SERVICE, 2, false);

  private final String wireKind;
  private final String service;
  private final int attempts;
  private final boolean isResumable;

  RequestKind(String wireKind, String service, int attempts, boolean isResumable) {
    this.wireKind = wireKind;
    this.service = service;
    this.attempts = attempts;
    this.isResumable = isResumable;
  }

  String path() {
    return "/" + name().toLowerCase(Locale.ROOT).replace('_', '-') + "/";
  }

  /** Returns the target of a request. */
  String target(String request) {
    return path() + "page?id=" + request;
  }

  /** Returns the body of a request. */
  static String body(String request) {
    return "body of " + request;
  }

  /** Returns the headers of a request; its prompt has a random part if it has one. */
  Map<String, String> headers(String request, SplittableRandom random) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", SoakDeployment.HOST);
    headers.put("Authorization", "Token " + SoakDeployment.KEY);
    headers.put(StandinHeaders.REQUEST_ID, request);
    headers.put(StandinHeaders.REQUEST_DEADLINE, Long.toString(SoakDeployment.TIMEOUT_MILLIS));
    if (isStream()) {
      headers.put(StandinHeaders.MODEL, ServerStandin.MODEL);
      headers.put(StandinHeaders.TOKEN_COUNTS, "300,40");
      headers.put(StandinHeaders.PROMPT_PREFIX, "a1:100,b" + random.nextInt(20) + ":100,c:100");
    }
    return headers;
  }

  boolean isStream() {
    return service.equals(ServerStandin.MODEL_SERVICE);
  }

  /** Returns whether servers may start to execute the same request more than once. */
  boolean mayRunMoreThanOnce() {
    return isResumable || this == READ;
  }

  String expectedBody(String request) {
    return isStream() ? ExpectedResponse.streamBody(request) : ExpectedResponse.plainBody(request);
  }

  JsonObject route() {
    JsonObject route = new JsonObject();
    route.addProperty("name", path());
    route.addProperty("host", SoakDeployment.HOST);
    route.addProperty("path_prefix", path());
    route.addProperty("kind", wireKind);
    route.addProperty("timeout_ms", SoakDeployment.TIMEOUT_MILLIS);
    route.addProperty("target_latency_ms", 500);
    route.addProperty("target_gap_ms", 300);
    route.addProperty("service", service);
    route.addProperty("max_attempts", attempts);
    route.addProperty("sticky_sessions", isStream());
    route.addProperty("resumable", isResumable);
    return route;
  }
}
