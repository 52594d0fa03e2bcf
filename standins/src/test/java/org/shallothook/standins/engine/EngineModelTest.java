package org.shallothook.standins.engine;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.standins.cache.CacheFeedPage;
import org.shallothook.state.cache.BlockKeyChain;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.membership.EngineRole;

final class EngineModelTest {
  private static final int BLOCK_BYTES = 4_000;
  private static final long HOUR_MICROS = 3_600_000_000L;
  private static final ModelVersion VERSION = ModelVersion.of("base", "v1");
  private static final CacheIdentity IDENTITY = new CacheIdentity("guild", VERSION);

  private final Recorder recorder = new Recorder();

  private static EngineModel engine(EngineSettings settings) {
    return new EngineModel("engine-1", settings, List.of(VERSION));
  }

  private static EngineRequest request(String id, String prompt, int resumePosition) {
    return request(id, prompt, resumePosition, 1);
  }

  private static EngineRequest request(String id, String prompt, int resumePosition, int priority) {
    byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
    return new EngineRequest(
        id,
        IDENTITY,
        priority,
        BlockKeyChain.keysOf(IDENTITY, bytes, BLOCK_BYTES),
        prompt,
        resumePosition,
        1_000);
  }

  private static String prompt(String prefix, int blocks) {
    return prefix + "x".repeat(BLOCK_BYTES * blocks) + " answer-tokens:20";
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 7, 19, 20})
  void resumedStreamContinuesTheSameAnswer(int resumePosition) {
    String prompt = prompt("a", 2);
    EngineModel engine = engine(EngineSettings.DEFAULT);
    engine.start(request("whole", prompt, 0), 0);
    engine.start(request("resumed", prompt, resumePosition), 0);
    engine.advanceTo(HOUR_MICROS, recorder);
    String whole = recorder.text("whole");
    String head = AnswerText.of(VERSION, prompt, EngineSettings.DEFAULT).text(resumePosition);
    assertThat(head + recorder.text("resumed")).isEqualTo(whole);
    assertThat(recorder.ends).containsExactly("whole", 20, "resumed", 20);
  }

  @Test
  void cachedBlocksAreNotPrefilledAgain() {
    EngineModel engine = engine(EngineSettings.DEFAULT);
    engine.start(request("first", prompt("a", 10), 0), 0);
    engine.advanceTo(HOUR_MICROS, recorder);
    long before = engine.counters().prefilledTokens();
    engine.start(request("second", prompt("a", 10), 0), HOUR_MICROS);
    engine.advanceTo(2 * HOUR_MICROS, recorder);
    assertThat(engine.counters().prefilledTokens() - before).isLessThan(10);
    assertThat(engine.counters().cachedTokens()).isEqualTo(10_000);
  }

  @Test
  void leastRecentlyUsedChainIsEvictedFromItsEnd() {
    EngineModel engine = engine(EngineSettings.DEFAULT.withCacheBlocks(6));
    EngineRequest old = request("old", prompt("a", 4), 0);
    engine.start(old, 0);
    engine.start(request("new", prompt("b", 4), 0), 0);
    engine.advanceTo(HOUR_MICROS, recorder);
    assertThat(engine.matchedBlocks(IDENTITY, old.keys())).isEqualTo(2);
  }

  @Test
  void blocksOfAnotherTeamAreNotReused() {
    EngineModel engine = engine(EngineSettings.DEFAULT);
    EngineRequest request = request("first", prompt("a", 4), 0);
    engine.start(request, 0);
    engine.advanceTo(HOUR_MICROS, recorder);
    CacheIdentity other = new CacheIdentity("other", VERSION);
    assertThat(engine.matchedBlocks(other, request.keys())).isEqualTo(0);
    assertThat(engine.exportBlocks(other, request.keys())).isEmpty();
  }

  @Test
  void lostChangesLeaveAGapInTheSequence() {
    EngineModel engine = engine(EngineSettings.DEFAULT);
    engine.omitCacheChanges(3);
    engine.start(request("first", prompt("a", 8), 0), 0);
    engine.advanceTo(HOUR_MICROS, recorder);
    CacheFeedPage page = engine.cacheChanges(0, HOUR_MICROS);
    assertThat(page.firstSequence()).isEqualTo(3);
    assertThat(page.changes()).hasSize(5);
  }

  @Test
  void changesArePublishedAfterTheDelay() {
    EngineModel engine = engine(EngineSettings.DEFAULT);
    engine.start(request("first", prompt("a", 1), 0), 0);
    long prefilledAt = engine.nextEventMicros();
    engine.advanceTo(prefilledAt, recorder);
    long published = prefilledAt + EngineSettings.DEFAULT.publishDelayMicros();
    assertThat(engine.cacheChanges(0, published - 1).changes()).isEmpty();
    assertThat(engine.cacheChanges(0, published).changes()).hasSize(1);
  }

  @Test
  void priorityRequestsArePrefilledFirst() {
    EngineModel engine = engine(EngineSettings.DEFAULT);
    engine.start(request("running", prompt("a", 4), 0), 0);
    engine.start(request("ordinary", prompt("b", 4), 0), 0);
    engine.start(request("urgent", prompt("c", 4), 0, 0), 0);
    engine.advanceTo(HOUR_MICROS, recorder);
    assertThat(recorder.firstTokens.get("urgent")).isLessThan(recorder.firstTokens.get("ordinary"));
  }

  @Test
  void poisonPromptCrashesTheEngineWhichRestartsEmpty() {
    EngineModel engine = engine(EngineSettings.DEFAULT);
    engine.start(request("good", prompt("a", 4), 0), 0);
    engine.start(request("bad", prompt(EngineRequest.POISON_MARKER, 1), 0), 0);
    engine.advanceTo(HOUR_MICROS, recorder);
    assertThat(recorder.lost).containsExactly("good", "bad");
    assertThat(engine.incarnation()).isEqualTo("engine-1-2");
    assertThat(engine.cachedKeys()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"true,OLD_FENCING,7", "false,BUSY,-1"})
  void staleFencingTokensAreRefusedIfChecked(
      boolean checksFencing, OrderResult expected, long lastFencing) {
    EngineModel engine = engine(EngineSettings.DEFAULT.withChecksFencing(checksFencing));
    assertThat(engine.orderLoad(7, ModelVersion.of("base", "v2")))
        .isEqualTo(OrderResult.FETCH_WEIGHTS);
    assertThat(engine.orderLoad(6, ModelVersion.of("base", "v3"))).isEqualTo(expected);
    assertThat(engine.lastFencing()).isEqualTo(lastFencing);
  }

  @ParameterizedTest
  @CsvSource({"true,OLD_FENCING,PRIORITY", "false,TAKEN,MIXED"})
  void roleChangeKeepsRunningStreamsAndIsResetByARestart(
      boolean checksFencing, OrderResult withStaleToken, EngineRole after) {
    EngineModel engine = engine(EngineSettings.DEFAULT.withChecksFencing(checksFencing));
    engine.start(request("running", prompt("a", 1), 0), 0);
    assertThat(engine.orderRole(7, EngineRole.PRIORITY)).isEqualTo(OrderResult.TAKEN);
    assertThat(engine.orderRole(6, EngineRole.MIXED)).isEqualTo(withStaleToken);
    assertThat(engine.role()).isEqualTo(after);
    engine.advanceTo(HOUR_MICROS, recorder);
    assertThat(recorder.ends).containsKey("running");
    engine.crash(HOUR_MICROS, recorder);
    engine.advanceTo(2 * HOUR_MICROS, recorder);
    assertThat(engine.role()).isEqualTo(EngineRole.MIXED);
  }

  @Test
  void fullEngineRefuses() {
    EngineModel engine = engine(EngineSettings.DEFAULT);
    for (int stream = 0; stream < 16; stream++) {
      assertThat(engine.start(request("s" + stream, prompt("a", 1), 0), 0))
          .isEqualTo(StartResult.STARTED);
    }
    assertThat(engine.start(request("more", prompt("a", 1), 0), 0)).isEqualTo(StartResult.FULL);
    engine.cancel("s3", 0);
    assertThat(engine.start(request("more", prompt("a", 1), 0), 0)).isEqualTo(StartResult.STARTED);
  }

  private static final class Recorder implements EngineListener {
    final Map<String, StringBuilder> texts = new TreeMap<>();
    final Map<String, Long> firstTokens = new TreeMap<>();
    final Map<String, Integer> ends = new TreeMap<>();
    final List<String> lost = new ArrayList<>();

    String text(String id) {
      return texts.getOrDefault(id, new StringBuilder()).toString();
    }

    @Override
    public void token(String id, int position, String text, long atMicros) {
      texts.computeIfAbsent(id, unused -> new StringBuilder()).append(text);
      firstTokens.putIfAbsent(id, atMicros);
    }

    @Override
    public void ended(
        String id, int position, String finishReason, int cachedBlocks, long atMicros) {
      ends.put(id, position);
    }

    @Override
    public void lost(String id, long atMicros) {
      lost.add(id);
    }
  }
}
