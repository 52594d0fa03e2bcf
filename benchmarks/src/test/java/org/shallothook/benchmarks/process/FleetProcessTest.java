package org.shallothook.benchmarks.process;

import static com.google.common.truth.Truth.assertThat;

import com.google.gson.JsonObject;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Faults of whole processes. Every verdict waits for states, never for times. */
@Timeout(900)
final class FleetProcessTest {
  private static final int LONG_ANSWER = 150;

  /** Parts after which a stream is older than a router waits for the engines of a new request. */
  private static final int PARTS_BEFORE_CUT = 8;

  @TempDir Path folder;
  private Fleet fleet;

  @BeforeEach
  void start() throws Exception {
    fleet = new Fleet(folder, FleetShape.SMALL.withRelays());
  }

  @AfterEach
  void end() {
    fleet.close();
  }

  @Test
  void aRouterThatIsToldToStopCutsNoStream() throws Exception {
    List<ChatStream> streams = openStreams("router-1", 4);
    fleet.signal("router-1", "TERM");
    Until.yes(
        "the router says that it leaves",
        () -> Http.get(fleet.admin("router-1"), "/healthz").statusCode() == 503);
    fleet.releaseAnswers(fleet.engines());

    assertThatAllEndWhole(streams);
    assertThat(fleet.process("router-1").waitFor(60, TimeUnit.SECONDS)).isTrue();
    assertThat(fleet.process("router-1").exitValue()).isEqualTo(0);
  }

  @Test
  void aSidecarThatIsToldToStopCutsNoStream() throws Exception {
    List<ChatStream> streams = openStreams("router-1", 4);
    String engine = fleet.runningEngine();
    fleet.signal(engine, "TERM");
    Until.yes(
        "the sidecar says that it leaves",
        () -> Http.get(fleet.admin(engine), "/healthz").statusCode() == 503);
    ChatStream later = ChatStream.open(fleet.callers("router-2"), Fleet.KEY, "later", 5);
    fleet.releaseAnswers(fleet.engines());

    assertThatAllEndWhole(streams);
    assertThat(later.end()).isEqualTo("done");
    assertThat(fleet.process(engine).waitFor(60, TimeUnit.SECONDS)).isTrue();
    assertThat(fleet.process(engine).exitValue()).isEqualTo(0);
  }

  @Test
  void aStreamGoesOnWhereItWasAfterItsEngineWasKilled() throws Exception {
    ChatStream stream = openStreams("router-1", 1).get(0);
    String engine = fleet.runningEngine();
    fleet.signal("standin-" + engine, "KILL");
    fleet.releaseAnswers(othersThan(engine));

    assertThatAllEndWhole(List.of(stream));
  }

  @Test
  void aStreamGoesOnWhereItWasAfterItsSidecarFrozeAndTheLateFramesAreDropped() throws Exception {
    ChatStream stream = openStreams("router-1", 1).get(0);
    String engine = fleet.runningEngine();
    fleet.signal(engine, "STOP");
    String other = othersThan(engine).get(0);
    Until.yes("the stream goes on elsewhere", () -> fleet.isRunningStream(other));
    waitUntilGoneOn(stream, 1);
    fleet.signal(engine, "CONT");
    fleet.releaseAnswers(fleet.engines());

    assertThatAllEndWhole(List.of(stream));
    fleet.waitUntilServing(engine);
  }

  @Test
  void aStreamIsWholeThoughItsConnectionToTheSidecarWasCutTwice() throws Exception {
    ChatStream stream = openStreams("router-1", 1).get(0);
    waitUntilGoneOn(stream, PARTS_BEFORE_CUT);
    for (int cut = 0; cut < 2; cut++) {
      for (String engine : fleet.engines()) {
        fleet.relay(engine).cut();
      }
      waitUntilGoneOn(stream, 2);
    }
    fleet.releaseAnswers(fleet.engines());

    assertThatAllEndWhole(List.of(stream));
  }

  @Test
  void aRouterThatRestartsInAnOutageOfTheLogServes() throws Exception {
    fleet.fault("log", "outage", "{\"for_millis\":600000}");
    fleet.signal("router-1", "KILL");
    assertThat(fleet.process("router-1").waitFor(60, TimeUnit.SECONDS)).isTrue();
    fleet.startRouter("router-1");
    fleet.waitUntilServing("router-1");
    fleet.waitUntilAnswering("router-1");

    assertThat(Http.get(fleet.admin("router-1"), "/in-force").statusCode()).isEqualTo(200);
  }

  @Test
  void aBookingRunsOnceThoughItsSidecarFrozeAndItsCallerAskedAgain() throws Exception {
    assertThat(book("router-1", "key-0").statusCode()).isEqualTo(200);
    for (String frozen : fleet.services()) {
      fleet.signal(frozen, "STOP");
      String key = "key-of-" + frozen;
      Until.yes(
          "booking " + key + " is answered while a sidecar is frozen",
          () -> book("router-1", key).statusCode() == 200);
      fleet.signal(frozen, "CONT");
      fleet.waitUntilServing(frozen);

      assertThat(book("router-2", key).statusCode()).isEqualTo(200);
      assertThat(executions(key)).isEqualTo(1);
    }
    assertThat(executions("key-0")).isEqualTo(1);
  }

  private static void waitUntilGoneOn(ChatStream stream, int parts) {
    int wanted = stream.parts() + parts;
    Until.yes(
        "the stream has gone on",
        () -> {
          if (stream.hasEnded()) {
            throw new AssertionError("The stream has ended: " + stream.end());
          }
          return stream.parts() >= wanted;
        });
  }

  private List<String> othersThan(String engine) {
    return fleet.engines().stream().filter(other -> !other.equals(engine)).toList();
  }

  private HttpResponse<String> book(String router, String key) throws Exception {
    return Http.post(
        fleet.callers(router),
        "/v1/services/rota/book",
        "{\"cloth\":\"corporal\"}",
        "Authorization",
        "Bearer " + Fleet.KEY,
        "Idempotency-Key",
        key);
  }

  private int executions(String key) throws Exception {
    int sum = 0;
    for (String service : fleet.services()) {
      JsonObject state = Http.json(fleet.port(service + "-upstream"), "/control/state");
      JsonObject executions = state.getAsJsonObject("executions");
      sum += executions.has(key) ? executions.get(key).getAsInt() : 0;
    }
    return sum;
  }

  /** Opens streams that do not end before the fleet releases their answers. */
  private List<ChatStream> openStreams(String router, int count) throws Exception {
    fleet.holdAnswers();
    List<ChatStream> streams = ask(router, count);
    for (ChatStream stream : streams) {
      Until.yes("a stream has begun", () -> stream.parts() > 0);
    }
    return streams;
  }

  /** Answers depend on the prompt alone, so a second asking shows what the first must hold. */
  private void assertThatAllEndWhole(List<ChatStream> streams) throws Exception {
    for (ChatStream stream : streams) {
      assertThat(stream.end()).isEqualTo("done");
    }
    List<ChatStream> again = ask("router-2", streams.size());
    for (int number = 0; number < streams.size(); number++) {
      assertThat(again.get(number).end()).isEqualTo("done");
      assertThat(streams.get(number).text()).isEqualTo(again.get(number).text());
    }
  }

  private List<ChatStream> ask(String router, int count) {
    return IntStream.range(0, count)
        .mapToObj(
            number ->
                ChatStream.open(
                    fleet.callers(router), Fleet.KEY, "question " + number, LONG_ANSWER))
        .toList();
  }
}
