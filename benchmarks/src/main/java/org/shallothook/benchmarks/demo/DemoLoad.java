package org.shallothook.benchmarks.demo;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Sends long shared-prompt chats and bookings from every team at a fixed rate.
 *
 * <p>Every booking is sent twice with the same key, through two routers.
 *
 * <p>Not thread-safe; used once.
 */
final class DemoLoad {
  private static final int SENDERS = 64;
  private static final int BOOKING_EVERY = 5;
  private static final int MAXIMUM_TOKENS = 24;
  private static final int CONVERSATIONS = 40;
  private static final long SETTLE_SECONDS = 40;
  private static final long SEED = 20261204;

  private final ExampleDeployment deployment;
  private final int seconds;
  private final int rate;
  private final ChatClient client = new ChatClient();
  private final ConcurrentHistogram firstTokenNanos = new ConcurrentHistogram(3);
  private final Map<String, LongAdder> refusals = new ConcurrentHashMap<>();
  private final LongAdder chats = new LongAdder();
  private final LongAdder complete = new LongAdder();
  private final LongAdder bookings = new LongAdder();
  private final LongAdder bookingsAgreed = new LongAdder();

  DemoLoad(ExampleDeployment deployment, int seconds, int rate) {
    this.deployment = deployment;
    this.seconds = seconds;
    this.rate = rate;
  }

  /** Sends everything and returns the report once every answer is in. */
  DemoReport run() throws IOException, InterruptedException {
    Random random = new Random(SEED);
    String run = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
    ExecutorService senders = Executors.newFixedThreadPool(SENDERS);
    ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();
    List<ScheduledFuture<?>> starts = new ArrayList<>();
    int total = seconds * rate;
    for (int index = 0; index < total; index++) {
      Runnable task = task(index, run, random);
      long delayMicros = TimeUnit.SECONDS.toMicros(index) / rate;
      starts.add(clock.schedule(() -> senders.execute(task), delayMicros, TimeUnit.MICROSECONDS));
    }
    clock.shutdown();
    boolean sent = clock.awaitTermination(seconds + SETTLE_SECONDS, TimeUnit.SECONDS);
    senders.shutdown();
    sent &= starts.stream().allMatch(ScheduledFuture::isDone);
    boolean settled = senders.awaitTermination(SETTLE_SECONDS, TimeUnit.SECONDS);
    if (!sent || !settled) {
      count("client-gave-up");
    }
    return new DemoReport(
        chats.sum(),
        complete.sum(),
        firstTokenNanos,
        bookings.sum(),
        bookingsAgreed.sum(),
        refusals,
        UpstreamCounters.read(client, deployment));
  }

  private Runnable task(int index, String run, Random random) {
    ExampleDeployment.Team team = deployment.teams().get(random.nextInt(deployment.teams().size()));
    String router = router(index);
    if (index % BOOKING_EVERY == 0 && !deployment.services().isEmpty()) {
      String key = "demo-" + run + "-" + index;
      return () -> guarded(() -> book(team, router, router(index + 1), key));
    }
    String tenant = team.tenants().get(random.nextInt(team.tenants().size()));
    String question = "Conversation " + random.nextInt(CONVERSATIONS) + ": whose turn is it?";
    return () -> guarded(() -> chat(team, router, tenant, question));
  }

  private String router(int index) {
    return deployment.routers().get(index % deployment.routers().size()).callers();
  }

  private void chat(ExampleDeployment.Team team, String router, String tenant, String question)
      throws IOException, InterruptedException {
    chats.increment();
    ChatResult result = client.chat(router, team, tenant, question, MAXIMUM_TOKENS);
    if (result.refusal().isPresent()) {
      count(result.refusal().get());
      return;
    }
    complete.increment();
    firstTokenNanos.recordValue(result.firstTokenNanos());
  }

  private void book(ExampleDeployment.Team team, String first, String second, String key)
      throws IOException, InterruptedException {
    bookings.increment();
    String service = deployment.services().get(0);
    String body = "{\"slot\": \"" + key + "\"}";
    HttpResponse<String> answer = client.call(first, team, service, key, body);
    HttpResponse<String> repeat = client.call(second, team, service, key, body);
    if (answer.statusCode() != 200) {
      count(ChatClient.codeOf(answer.body()));
    }
    if (repeat.statusCode() != 200) {
      count(ChatClient.codeOf(repeat.body()));
    }
    if (answer.statusCode() == 200 && answer.body().equals(repeat.body())) {
      bookingsAgreed.increment();
    }
  }

  private void guarded(Exchange exchange) {
    try {
      exchange.run();
    } catch (IOException e) {
      count("connection-failed");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void count(String reason) {
    refusals.computeIfAbsent(reason, name -> new LongAdder()).increment();
  }

  /** One exchange with a router. */
  @FunctionalInterface
  private interface Exchange {
    void run() throws IOException, InterruptedException;
  }
}
