package org.shallothook.soak;

import com.google.gson.JsonObject;
import java.util.Locale;
import org.shallothook.soak.standins.ExpectedAnswer;
import org.shallothook.soak.standins.ServerStandin;

/**
 * Kinds of requests, each with a route of its own.
 *
 * <p>Immutable and thread-safe.
 */
enum RequestKind {
  /** A stream that may go on at another server. */
  RESUMABLE_STREAM("streaming", ServerStandin.MODELS, 2, true),
  /** A stream that may run once. */
  PLAIN_STREAM("streaming", ServerStandin.MODELS, 1, false),
  /** A call that may run once. */
  BOOKING("unsafe", ServerStandin.BOOKINGS, 1, false),
  /** A call that may run again. */
  READ("safe", ServerStandin.BOOKINGS, 2, false);

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

  boolean isStream() {
    return service.equals(ServerStandin.MODELS);
  }

  /** Returns whether a server may begin to work on a request more than once. */
  boolean mayRunAgain() {
    return isResumable || this == READ;
  }

  String expectedBody(String request) {
    return isStream() ? ExpectedAnswer.stream(request) : ExpectedAnswer.plain(request);
  }

  JsonObject route() {
    JsonObject route = new JsonObject();
    route.addProperty("name", path());
    route.addProperty("host", Deployment.HOST);
    route.addProperty("path_prefix", path());
    route.addProperty("kind", wireKind);
    route.addProperty("timeout_ms", Deployment.TIMEOUT_MILLIS);
    route.addProperty("target_latency_ms", 500);
    route.addProperty("target_gap_ms", 300);
    route.addProperty("service", service);
    route.addProperty("max_attempts", attempts);
    route.addProperty("sticky_sessions", isStream());
    route.addProperty("resumable", isResumable);
    return route;
  }
}
