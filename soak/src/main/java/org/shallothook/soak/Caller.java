package org.shallothook.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.shallothook.soak.standins.StandinHeaders;

/**
 * A caller that sends one request at a time over persistent connections and checks each response.
 *
 * <p>Not thread-safe: one thread owns it.
 */
final class Caller {
  static {
    // Requests are routed by their Host header, which the client would set to the router's address.
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
  }

  private static final List<RequestKind> KINDS = List.of(RequestKind.values());
  private static final Set<Integer> REFUSAL_STATUSES = Set.of(408, 421, 429, 503);
  private static final Set<Integer> FAILURE_STATUSES = Set.of(500, 502, 504);
  private static final double CANCELLED_SHARE = 0.06;
  private static final int MAX_CANCEL_DELAY_MILLIS = 150;

  /** Time past the route's timeout in which a response may still arrive on a busy machine. */
  private static final long RESPONSE_SLACK_MILLIS = 4_000;

  private final SoakDeployment deployment;
  private final RequestOutcomes outcomes;
  private final SplittableRandom random;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  Caller(SoakDeployment deployment, RequestOutcomes outcomes, SplittableRandom random) {
    this.deployment = deployment;
    this.outcomes = outcomes;
    this.random = random;
  }

  /** Sends a request to a random serving router, or to any if none serves; returns its outcome. */
  CallerOutcome callServingRouter() throws InterruptedException {
    return call(deployment.chooseRouter(random));
  }

  /** Sends a request to the router with the given index and returns its outcome. */
  CallerOutcome call(int router) throws InterruptedException {
    RequestKind kind = RandomChoice.oneOf(KINDS, random);
    String id = Long.toHexString(random.nextLong() | Long.MIN_VALUE);
    long sentNanos = System.nanoTime();
    CompletableFuture<HttpResponse<String>> response =
        client.sendAsync(
            request(kind, id, deployment.callerAddress(router)),
            BodyHandlers.ofString(StandardCharsets.ISO_8859_1));
    boolean isCancelling = random.nextDouble() < CANCELLED_SHARE;
    CallerOutcome outcome;
    try {
      long timeoutMillis = SoakDeployment.TIMEOUT_MILLIS + RESPONSE_SLACK_MILLIS;
      long waitMillis = isCancelling ? random.nextInt(MAX_CANCEL_DELAY_MILLIS) : timeoutMillis;
      outcome = check(kind, id, response.get(waitMillis, TimeUnit.MILLISECONDS));
    } catch (TimeoutException e) {
      response.cancel(true);
      outcome = isCancelling ? CallerOutcome.LEFT : CallerOutcome.UNANSWERED;
    } catch (ExecutionException | CancellationException e) {
      outcome = CallerOutcome.CUT;
      checkCut(id, router, sentNanos, e);
    }
    boolean wasDisturbed = deployment.routers().get(router).wasDisturbedSince(sentNanos);
    if (outcome == CallerOutcome.UNANSWERED && !wasDisturbed) {
      deployment
          .executionLog()
          .recordViolation("a complete response in time", id + " at router " + router);
    }
    outcomes.record(kind, id, outcome);
    return outcome;
  }

  private HttpRequest request(RequestKind kind, String id, InetSocketAddress router) {
    String address = router.getAddress().getHostAddress() + ":" + router.getPort();
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + kind.target(id)))
            .POST(HttpRequest.BodyPublishers.ofString(RequestKind.body(id)));
    kind.headers(id, random).forEach(request::header);
    return request.build();
  }

  private CallerOutcome check(RequestKind kind, String id, HttpResponse<String> response) {
    int status = response.statusCode();
    if (status == 200) {
      checkComplete(kind, id, response);
      return CallerOutcome.SERVED;
    }
    if (REFUSAL_STATUSES.contains(status)) {
      return CallerOutcome.REFUSED;
    }
    if (!FAILURE_STATUSES.contains(status)) {
      deployment
          .executionLog()
          .recordViolation("an allowed request is not rejected", id + " got " + status);
    }
    return CallerOutcome.FAILED;
  }

  private void checkComplete(RequestKind kind, String id, HttpResponse<String> response) {
    boolean isOwn =
        response.headers().firstValue(StandinHeaders.REQUEST_ID).filter(id::equals).isPresent()
            && response
                .headers()
                .firstValue(StandinHeaders.SIGNATURE)
                .filter(signature -> signature.endsWith("." + id))
                .isPresent();
    if (!isOwn || !response.body().equals(kind.expectedBody(id))) {
      deployment
          .executionLog()
          .recordViolation(
              "a complete response to the caller's own request",
              id + " got " + response.headers() + response.body());
    }
  }

  /**
   * Checks that a router did not close a connection without responding to a request it has read,
   * which it must not do during a graceful stop either.
   */
  private void checkCut(String id, int router, long sentNanos, Exception failure) {
    String message =
        String.valueOf(failure.getCause() instanceof IOException e ? e.getMessage() : failure);
    boolean hadNoResponse = message.contains("received no bytes");
    if (hadNoResponse && !deployment.routers().get(router).wasDisturbedSince(sentNanos)) {
      deployment
          .executionLog()
          .recordViolation("no request is cut off", id + " at router " + router + ": " + message);
    }
  }
}
