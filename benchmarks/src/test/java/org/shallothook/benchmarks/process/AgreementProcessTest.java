package org.shallothook.benchmarks.process;

import static com.google.common.truth.Truth.assertThat;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * What whole processes agree on through the log. Every verdict waits for states, never for times.
 */
@Timeout(900)
final class AgreementProcessTest {
  private static final int LONG_FETCH_MILLIS = 6_000;
  private static final String SLOW_LOG = "{\"delay_millis\":1000,\"for_millis\":3600000}";

  @TempDir Path folder;
  private Optional<Fleet> running = Optional.empty();

  @AfterEach
  void end() {
    running.ifPresent(Fleet::close);
  }

  @Test
  void ofTwoConflictingChangesThroughTwoRoutersOneWinsAndTheLoserIsToldWhich() throws Exception {
    Fleet fleet = start(FleetShape.ofEngines(1));
    long base = offsetInForce(fleet, "router-1");
    Map<String, String> sources =
        Map.of("change-1", Fleet.template("2"), "change-2", Fleet.template("3"));
    fleet.fault("log", "delay", SLOW_LOG);
    CompletableFuture<JsonObject> first =
        fleet.publish("router-1", "change-1", sources.get("change-1"), base);
    CompletableFuture<JsonObject> second =
        fleet.publish("router-2", "change-2", sources.get("change-2"), base);
    boolean firstWins = resultOf(first.get()).equals("accepted");
    JsonObject won = firstWins ? first.get() : second.get();
    JsonObject lost = firstWins ? second.get() : first.get();
    String winner = firstWins ? "change-1" : "change-2";

    assertThat(resultOf(won)).isEqualTo("accepted");
    assertThat(resultOf(lost)).isEqualTo("conflict");
    assertThat(lost.get("detail").getAsString()).contains(winner);
    fleet.fault("log", "clear", "{}");
    long accepted = won.get("offset").getAsLong();
    for (String router : Fleet.ROUTERS) {
      Until.yes(
          router + " has the winner in force", () -> offsetInForce(fleet, router) == accepted + 1);
      assertThat(Http.get(fleet.admin(router), "/templates/team").body())
          .isEqualTo(sources.get(winner));
    }
    Until.yes(
        "both routers know the same history",
        () -> history(fleet, "router-1").equals(history(fleet, "router-2")));
    assertThat(history(fleet, "router-1")).contains(winner);
    assertThat(offsetInForce(fleet, "router-1")).isEqualTo(offsetInForce(fleet, "router-2"));
  }

  @Test
  void aSidecarThatFrozeBeforeItsLoadAndWakesAfterItsLeaseAddsNoThirdLoad() throws Exception {
    Fleet fleet = start(FleetShape.ofEngines(5).withFetchMillis(LONG_FETCH_MILLIS));
    fleet.fault("log", "delay", SLOW_LOG);
    long base = offsetInForce(fleet, "router-1");
    assertThat(resultOf(fleet.publish("router-1", "v2", Fleet.template("2"), base).get()))
        .isEqualTo("accepted");
    Until.yes("a sidecar has a lease", () -> lastLease(fleet).isPresent());
    String frozen = lastLease(fleet).orElseThrow();
    fleet.signal(frozen, "STOP");
    fleet.fault("log", "clear", "{}");
    // Both slots are with others only once the lease of the frozen sidecar has lapsed.
    Until.yes("two others load", () -> weights(fleet, "running") == 2 && !isLoading(fleet, frozen));
    fleet.signal(frozen, "CONT");
    for (String engine : fleet.engines()) {
      Until.yes(engine + " has loaded", () -> hasLoaded(fleet, engine));
    }

    assertThat(weights(fleet, "fetches")).isEqualTo(5);
    assertThat(weights(fleet, "greatest_concurrent")).isAtMost(2);
  }

  @Test
  void anAdapterAndARoleAreOrderedAndReadBack() throws Exception {
    Fleet fleet = start(FleetShape.ofEngines(2));
    String source =
        Fleet.template("2")
            .replace(
                "priority = ordinary", "adapter = rota\npriority = priority\npriority-engines = 1");
    long base = offsetInForce(fleet, "router-1");
    assertThat(resultOf(fleet.publish("router-1", "keep-one", source, base).get()))
        .isEqualTo("accepted");
    for (String engine : fleet.engines()) {
      Until.yes(engine + " has the adapter", () -> hasAdapter(fleet, engine));
    }
    Until.yes("one engine is kept free", () -> reserved(fleet).size() == 1);
    String kept = reserved(fleet).get(0);
    for (String router : Fleet.ROUTERS) {
      Until.yes(
          router + " shows the role", () -> roleShown(fleet, router, kept).equals("priority"));
    }

    String before = status(fleet, kept).get("incarnation").getAsString();
    fleet.fault(kept + "-upstream", "crash", "{}");
    Until.yes(
        "the restarted engine has its role",
        () ->
            !status(fleet, kept).get("incarnation").getAsString().equals(before)
                && reserved(fleet).equals(List.of(kept)));

    String tooMany = source.replace("priority-engines = 1", "priority-engines = 2");
    base = offsetInForce(fleet, "router-1");
    JsonObject refused = fleet.publish("router-1", "keep-both", tooMany, base).get();
    assertThat(resultOf(refused)).isEqualTo("invalid");
    assertThat(refused.get("detail").getAsString()).contains("Lower priority-engines");
  }

  private Fleet start(FleetShape shape) throws Exception {
    Fleet fleet = new Fleet(folder, shape);
    running = Optional.of(fleet);
    return fleet;
  }

  private static String resultOf(JsonObject answer) {
    return answer.get("result").getAsString();
  }

  private static long offsetInForce(Fleet fleet, String router) throws Exception {
    JsonObject offsets = Http.json(fleet.admin(router), "/in-force").getAsJsonObject("offsets");
    return offsets.get(router).getAsLong();
  }

  private static String history(Fleet fleet, String router) throws Exception {
    return Http.get(fleet.admin(router), "/history").body();
  }

  private static Optional<String> lastLease(Fleet fleet) throws Exception {
    JsonObject last = Http.json(fleet.port("log"), "/control/state").getAsJsonObject("last");
    return Optional.ofNullable(last.get("leases"))
        .map(record -> List.of(record.getAsString().split("[ /]")))
        .filter(words -> words.get(0).equals("lease"))
        .map(words -> words.get(1));
  }

  private static int weights(Fleet fleet, String counter) throws Exception {
    return Http.json(fleet.port("weights"), "/control/state").get(counter).getAsInt();
  }

  private static boolean isLoading(Fleet fleet, String engine) throws Exception {
    boolean hasOrder = status(fleet, engine).get("last_fencing").getAsLong() > 0;
    return hasOrder && !hasLoaded(fleet, engine);
  }

  private static boolean hasAdapter(Fleet fleet, String engine) throws Exception {
    String models = status(fleet, engine).getAsJsonArray("models").toString();
    return models.contains("\"version\":\"2\",\"adapter\":\"rota\"");
  }

  private static List<String> reserved(Fleet fleet) throws Exception {
    List<String> reserved = new ArrayList<>();
    for (String engine : fleet.engines()) {
      if (status(fleet, engine).get("role").getAsString().equals("priority")) {
        reserved.add(engine);
      }
    }
    return reserved;
  }

  private static String roleShown(Fleet fleet, String router, String engine) throws Exception {
    for (JsonElement one : Http.json(fleet.admin(router), "/status").getAsJsonArray("upstreams")) {
      if (one.getAsJsonObject().get("name").getAsString().equals(engine)) {
        return one.getAsJsonObject().get("role").getAsString();
      }
    }
    return "";
  }

  private static boolean hasLoaded(Fleet fleet, String engine) throws Exception {
    String models = status(fleet, engine).getAsJsonArray("models").toString();
    return models.contains("\"version\":\"2\"");
  }

  private static JsonObject status(Fleet fleet, String engine) throws Exception {
    return Http.json(fleet.port(engine + "-upstream"), "/v1/status");
  }
}
