package org.shallothook.benchmarks.process;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.shallothook.standins.engine.EngineRequest;

/**
 * A request that crashes the engines that run it, with whole processes over sockets. Every verdict
 * waits for states, never for times.
 */
@Timeout(900)
final class QuarantineProcessTest {
  private static final int ENGINES = 4;
  private static final int INNOCENT = 2;
  private static final int LONG_ANSWER = 50;

  @TempDir Path folder;
  private Fleet fleet;

  @BeforeEach
  void start() throws Exception {
    fleet = new Fleet(folder, FleetShape.ofEngines(ENGINES));
  }

  @AfterEach
  void end() {
    fleet.close();
  }

  @Test
  void aRequestThatCrashedTwoEnginesRunsNoMoreAndOtherStreamsEndWhole() throws Exception {
    fleet.holdAnswers();
    List<ChatStream> innocent = askInnocent("router-1");
    for (ChatStream stream : innocent) {
      Until.yes("a stream has begun", () -> stream.parts() > 0);
    }
    ChatStream poison = askPoison("router-1");
    Until.yes("an engine has crashed", () -> !areAllUp());
    Until.yes("answers go on", this::release);
    assertThat(poison.end()).containsMatch("\"code\":\"(quarantined|deadline-passed)\"");
    Until.yes("the request is quarantined", () -> isQuarantined("router-1"));
    assertThat(askPoison("router-2").end()).contains("quarantined");
    // An engine that restarts cannot be asked.
    Until.yes("every engine is back", () -> crashes() > 0);
    assertThat(crashes()).isEqualTo(2);
    for (ChatStream stream : innocent) {
      assertThat(stream.end()).isEqualTo("done");
    }
    List<ChatStream> again = askInnocent("router-2");
    for (int number = 0; number < INNOCENT; number++) {
      assertThat(again.get(number).end()).isEqualTo("done");
      assertThat(innocent.get(number).text()).isEqualTo(again.get(number).text());
    }
  }

  /** A suspect waits to run alone, so its deadline may pass first; then its caller sends again. */
  private boolean isQuarantined(String router) throws Exception {
    String end = askPoison(router).end();
    assertThat(end).containsMatch("\"code\":\"(quarantined|deadline-passed)\"");
    return end.contains("quarantined");
  }

  private boolean release() throws Exception {
    fleet.releaseAnswers(fleet.engines());
    return true;
  }

  /** Returns whether every engine can be asked and none has crashed. */
  private boolean areAllUp() {
    try {
      return crashes() == 0;
    } catch (Exception e) {
      return false;
    }
  }

  private ChatStream askPoison(String router) {
    return ChatStream.open(
        fleet.callers(router), Fleet.KEY, EngineRequest.POISON_MARKER, LONG_ANSWER);
  }

  private List<ChatStream> askInnocent(String router) {
    return IntStream.range(0, INNOCENT)
        .mapToObj(
            number ->
                ChatStream.open(
                    fleet.callers(router), Fleet.KEY, "question " + number, LONG_ANSWER))
        .toList();
  }

  private int crashes() throws Exception {
    int sum = 0;
    for (String engine : fleet.engines()) {
      sum +=
          Http.json(fleet.port(engine + "-upstream"), "/control/state").get("crashes").getAsInt();
    }
    return sum;
  }
}
