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
import java.util.stream.IntStream;
import org.shallothook.soak.standins.PlatformHeaders;
import org.shallothook.soak.standins.ServerStandin;

/**
 * One caller: sends a request at a time, over connections that it keeps, and checks each answer.
 *
 * <p>Not thread-safe: one thread owns it.
 */
final class Caller {
  static {
    // The host of a request names its route; the client's own choice would be the address.
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
  }

  private static final List<RequestKind> KINDS = List.of(RequestKind.values());
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);
  private static final Set<Integer> UNKNOWN = Set.of(500, 502, 504);
  private static final double LEAVING_SHARE = 0.06;
  private static final int LONGEST_STAY_MILLIS = 150;

  /** Time beyond the route's in which an answer may be under way on a busy machine. */
  private static final long SLACK_MILLIS = 4_000;

  private final Deployment deployment;
  private final CallRecord record;
  private final SplittableRandom random;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  Caller(Deployment deployment, CallRecord record, SplittableRandom random) {
    this.deployment = deployment;
    this.record = record;
    this.random = random;
  }

  /** Sends one request to a router that serves and returns how it ended. */
  Outcome callAny() throws InterruptedException {
    List<ManagedProcess> routers = deployment.routers();
    int[] serving =
        IntStream.range(0, routers.size()).filter(at -> routers.get(at).isServing()).toArray();
    int router =
        serving.length == 0
            ? random.nextInt(routers.size())
            : serving[random.nextInt(serving.length)];
    return call(router);
  }

  /** Sends one request to a router and returns how it ended. */
  Outcome call(int router) throws InterruptedException {
    RequestKind kind = Draws.oneOf(KINDS, random);
    String id = Long.toHexString(random.nextLong() | Long.MIN_VALUE);
    long sentNanos = System.nanoTime();
    CompletableFuture<HttpResponse<String>> answer =
        client.sendAsync(
            request(kind, id, deployment.callersOf(router)),
            BodyHandlers.ofString(StandardCharsets.ISO_8859_1));
    boolean isLeaving = random.nextDouble() < LEAVING_SHARE;
    Outcome outcome;
    try {
      long patience = Deployment.TIMEOUT_MILLIS + SLACK_MILLIS;
      long stay = isLeaving ? random.nextInt(LONGEST_STAY_MILLIS) : patience;
      outcome = check(kind, id, answer.get(stay, TimeUnit.MILLISECONDS));
    } catch (TimeoutException e) {
      answer.cancel(true);
      outcome = isLeaving ? Outcome.LEFT : Outcome.UNANSWERED;
    } catch (ExecutionException | CancellationException e) {
      outcome = Outcome.CUT;
      checkCut(id, router, sentNanos, e);
    }
    boolean wasDisturbed = deployment.routers().get(router).wasDisturbedSince(sentNanos);
    if (outcome == Outcome.UNANSWERED && !wasDisturbed) {
      deployment.ledger().violated("a final answer in time", id + " at router " + router);
    }
    record.ended(kind, id, outcome);
    return outcome;
  }

  private HttpRequest request(RequestKind kind, String id, InetSocketAddress router) {
    String address = router.getAddress().getHostAddress() + ":" + router.getPort();
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + kind.path() + "page?id=" + id))
            .header("Host", Deployment.HOST)
            .header("Authorization", "Token " + Deployment.KEY)
            .header(PlatformHeaders.REQUEST_ID, id)
            .header(PlatformHeaders.TIME_LEFT, Long.toString(Deployment.TIMEOUT_MILLIS))
            .POST(HttpRequest.BodyPublishers.ofString("body of " + id));
    if (kind.isStream()) {
      request
          .header(PlatformHeaders.MODEL, ServerStandin.MODEL)
          .header(PlatformHeaders.TOKEN_COUNTS, "300,40")
          .header(PlatformHeaders.PROMPT_PARTS, "a1:100,b" + random.nextInt(20) + ":100,c:100");
    }
    return request.build();
  }

  private Outcome check(RequestKind kind, String id, HttpResponse<String> answer) {
    int status = answer.statusCode();
    if (status == 200) {
      checkOwn(kind, id, answer);
      return Outcome.SERVED;
    }
    if (NOT_RUN.contains(status)) {
      return Outcome.REFUSED;
    }
    if (!UNKNOWN.contains(status)) {
      deployment.ledger().violated("no denial of what is allowed", id + " got " + status);
    }
    return Outcome.FAILED;
  }

  private void checkOwn(RequestKind kind, String id, HttpResponse<String> answer) {
    boolean isOwn =
        answer.headers().firstValue(PlatformHeaders.REQUEST_ID).filter(id::equals).isPresent()
            && answer
                .headers()
                .firstValue(PlatformHeaders.SIGNATURE)
                .filter(signature -> signature.endsWith("." + id))
                .isPresent();
    if (!isOwn || !answer.body().equals(kind.expectedBody(id))) {
      deployment
          .ledger()
          .violated("the whole own answer", id + " got " + answer.headers() + answer.body());
    }
  }

  /** A request that a process has read gets an answer, also while the process is being stopped. */
  private void checkCut(String id, int router, long sentNanos, Exception failure) {
    String message =
        String.valueOf(failure.getCause() instanceof IOException e ? e.getMessage() : failure);
    boolean hadNoAnswer = message.contains("received no bytes");
    if (hadNoAnswer && !deployment.routers().get(router).wasDisturbedSince(sentNanos)) {
      deployment
          .ledger()
          .violated("no request is cut off", id + " at router " + router + ": " + message);
    }
  }
}
