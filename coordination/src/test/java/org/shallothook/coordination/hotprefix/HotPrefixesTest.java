package org.shallothook.coordination.hotprefix;

import static com.google.common.truth.Truth.assertThat;
import static org.shallothook.coordination.sidecar.SidecarHarness.attempt;
import static org.shallothook.coordination.sidecar.SidecarHarness.keys;
import static org.shallothook.coordination.sidecar.SidecarHarness.offer;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.message.Hint;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.sidecar.CacheChange;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarHarness;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.request.AttemptId;

final class HotPrefixesTest {
  private static final List<BlockKey> RULEBOOK = keys("rulebook", 4);

  @Test
  void followersWaitForOneComputationOfMissingPrefix() {
    SidecarHarness sidecar = SidecarHarness.ready(8);
    for (int request = 0; request < 4; request++) {
      sidecar.send(offer("hot-" + request).keys(chain(request)));
    }
    sidecar.send(offer("other").keys(keys("other", 4)));
    assertThat(sidecar.started()).containsExactly(attempt("hot-0"), attempt("other"));

    sidecar.tokens(attempt("hot-0"), 0, 1);
    assertThat(sidecar.started()).hasSize(5);
  }

  @Test
  void hintCountsPrefixBeingComputedAndItsDelay() {
    SidecarHarness sidecar = SidecarHarness.ready(8);
    sidecar.send(offer("hot-0").keys(chain(0)));

    Hint hint = hint(sidecar, "probe", chain(1), 0);
    assertThat(hint.matchedBlocks()).isEqualTo(4);
    assertThat(hint.queueDelayMicros()).isAtLeast(60_000);
  }

  /**
   * Ways in which the computing run ends or is delayed, after which the requests waiting for it
   * must not keep waiting.
   */
  private enum LeaderFailure {
    CANCELLED {
      @Override
      void apply(SidecarHarness sidecar) {
        sidecar.receive(new PeerMessage.Cancel(attempt("hot-0")));
      }
    },
    SLOW {
      @Override
      void apply(SidecarHarness sidecar) {
        sidecar.pass(2_000_000);
      }
    },
    ENGINE_RESTARTED {
      @Override
      void apply(SidecarHarness sidecar) {
        sidecar.status("e-2");
      }
    };

    abstract void apply(SidecarHarness sidecar);
  }

  @ParameterizedTest
  @EnumSource(LeaderFailure.class)
  void oneFollowerComputesWhenLeaderDoesNot(LeaderFailure leaderFailure) {
    SidecarHarness sidecar = SidecarHarness.ready(8);
    sidecar.send(offer("hot-0").keys(chain(0)));
    sidecar.send(offer("hot-1").keys(chain(1)));
    leaderFailure.apply(sidecar);

    assertThat(sidecar.started()).containsExactly(attempt("hot-0"), attempt("hot-1")).inOrder();
  }

  @Test
  void spreadOfHotPrefixGrowsWithinSecondsAndShrinksSlowly() {
    SidecarHarness sidecar = SidecarHarness.ready(2);
    load(sidecar, "first", RULEBOOK, 60, 1_500_000);
    Hint hot = hint(sidecar, "probe-1", RULEBOOK, 0);
    assertThat(hot.spread()).isAtLeast(4);
    assertThat(hot.spreadBlocks()).isEqualTo(4);

    sidecar.pass(2_000_000);
    assertThat(hint(sidecar, "probe-2", RULEBOOK, 0).spread()).isEqualTo(hot.spread());
    sidecar.pass(60_000_000);
    assertThat(hint(sidecar, "probe-3", RULEBOOK, 0).spread()).isEqualTo(1);
  }

  @Test
  void shiftOfHotPrefixSettlesWithinThreeSeconds() {
    SidecarHarness sidecar = SidecarHarness.ready(2);
    load(sidecar, "old", RULEBOOK, 60, 5_000_000);
    List<BlockKey> newPrefix = keys("register", 4);
    load(sidecar, "new", newPrefix, 60, 3_000_000);

    Hint shifted = hint(sidecar, "probe", newPrefix, 0);
    assertThat(shifted.spread()).isAtLeast(4);
    assertThat(shifted.spreadBlocks()).isEqualTo(4);
  }

  @ParameterizedTest
  @CsvSource({"1, 1", "20, 1"})
  void moderateDemandIsNotSpread(int perSecond, int spread) {
    SidecarHarness sidecar = SidecarHarness.ready(8);
    load(sidecar, "cold", RULEBOOK, perSecond, 3_000_000);

    assertThat(hint(sidecar, "probe", RULEBOOK, 0).spread()).isEqualTo(spread);
  }

  @Test
  void onlyHomeUpstreamReportsSpread() {
    SidecarHarness sidecar = SidecarHarness.ready(2);
    load(sidecar, "hot", RULEBOOK, 60, 1_500_000);

    assertThat(hint(sidecar, "probe", RULEBOOK, 1).spreadBlocks()).isEqualTo(0);
  }

  @Test
  void missingPrefixOfOtherHomeIsImportedOnceAndAwaited() {
    SidecarHarness sidecar = withStore();
    sidecar.send(offer("one").keys(RULEBOOK).rank(1));
    sidecar.send(offer("two").keys(RULEBOOK).rank(1));
    SidecarCommand.TransferBlocks transfer = onlyTransfer(sidecar);
    assertThat(transfer.isImport()).isTrue();
    assertThat(transfer.identity().team()).isEqualTo("guild");
    assertThat(sidecar.started()).isEmpty();

    sidecar.handle(new SidecarEvent.TransferEnded(transfer.token(), RULEBOOK));
    assertThat(sidecar.started()).containsExactly(attempt("one"), attempt("two"));
    assertThat(hint(sidecar, "probe", RULEBOOK, 1).matchedBlocks()).isEqualTo(4);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void failedOrLostImportFallsBackToOneComputation(boolean isAnswered) {
    SidecarHarness sidecar = withStore();
    sidecar.send(offer("one").keys(RULEBOOK).rank(1));
    sidecar.send(offer("two").keys(RULEBOOK).rank(1));
    if (isAnswered) {
      sidecar.handle(new SidecarEvent.TransferEnded(onlyTransfer(sidecar).token(), List.of()));
    } else {
      sidecar.pass(60_000);
    }
    assertThat(sidecar.started()).containsExactly(attempt("one"));
    sidecar.receive(offer("three").keys(RULEBOOK).rank(1).build());
    onlyTransfer(sidecar);
  }

  @Test
  void blocksEvictedWhileRequestWaitedAreImportedAndNotComputed() {
    SidecarHarness sidecar = SidecarHarness.ready(1);
    sidecar.instances(1, false, true);
    cacheChanges(sidecar, 0, RULEBOOK, true);
    sidecar.send(offer("running").keys(keys("other", 1)));
    sidecar.send(offer("waiting").keys(RULEBOOK).rank(1));
    cacheChanges(sidecar, 4, RULEBOOK, false);
    sidecar.end(attempt("running"), 0);

    assertThat(onlyTransfer(sidecar).isImport()).isTrue();
    assertThat(sidecar.started()).containsExactly(attempt("running"));
  }

  @Test
  void importAcrossEngineRestartIsIgnoredAndStartedAgain() {
    SidecarHarness sidecar = withStore();
    sidecar.send(offer("one").keys(RULEBOOK).rank(1));
    long lateToken = onlyTransfer(sidecar).token();
    sidecar.status("e-2");
    sidecar.handle(new SidecarEvent.TransferEnded(lateToken, RULEBOOK));

    sidecar.send(offer("two").keys(RULEBOOK));
    assertThat(sidecar.started()).isEmpty();
    assertThat(sidecar.counters).containsEntry("transfers.late-ends", 1);

    List<SidecarCommand.TransferBlocks> transfers =
        sidecar.commands(SidecarCommand.TransferBlocks.class);
    assertThat(transfers).hasSize(2);
    sidecar.handle(new SidecarEvent.TransferEnded(transfers.get(1).token(), List.of()));
    assertThat(sidecar.started()).containsExactly(attempt("one"));
  }

  @Test
  void unrequestedKeysAreNotRecordedAsImported() {
    SidecarHarness sidecar = withStore();
    List<BlockKey> foreign = keys("foreign", 2);
    sidecar.send(offer("one").keys(RULEBOOK).rank(1));
    sidecar.handle(new SidecarEvent.TransferEnded(onlyTransfer(sidecar).token(), foreign));

    assertThat(hint(sidecar, "probe", foreign, 0).matchedBlocks()).isEqualTo(0);
  }

  @Test
  void importIsSkippedWhereComputingIsCheaper() {
    SidecarHarness sidecar =
        SidecarHarness.ready(2, SidecarHarness.options().transferMicrosPerBlock(20_000));
    sidecar.instances(1, false, true);
    sidecar.send(offer("one").keys(RULEBOOK).rank(1));

    assertThat(sidecar.commands(SidecarCommand.TransferBlocks.class)).isEmpty();
    assertThat(sidecar.started()).hasSize(1);
  }

  @Test
  void hotCachedPrefixIsExportedOnceAndImportedAfterEmptyRestart() {
    SidecarHarness sidecar = withStore();
    cacheChanges(sidecar, 0, RULEBOOK, true);
    load(sidecar, "hot", RULEBOOK, 10, 2_000_000);
    SidecarCommand.TransferBlocks export = onlyTransfer(sidecar);
    assertThat(export.isImport()).isFalse();
    sidecar.handle(new SidecarEvent.TransferEnded(export.token(), export.keys()));
    exportRest(sidecar);
    int exports = sidecar.commands(SidecarCommand.TransferBlocks.class).size();

    sidecar.status("e-2");
    sidecar.send(offer("again").keys(RULEBOOK));
    List<SidecarCommand.TransferBlocks> transfers =
        sidecar.commands(SidecarCommand.TransferBlocks.class);
    assertThat(transfers).hasSize(exports + 1);
    assertThat(transfers.get(exports).isImport()).isTrue();
  }

  @Test
  void prefixOfPriorityWorkIsExportedAfterOneRequest() {
    SidecarHarness sidecar = withStore();
    sidecar.send(offer("rare").keys(RULEBOOK).priority());
    sidecar.handle(new SidecarEvent.TransferEnded(onlyTransfer(sidecar).token(), List.of()));
    sidecar.tokens(attempt("rare"), 0, 1);
    sidecar.pass(500_000);

    SidecarCommand.TransferBlocks export =
        sidecar.commands(SidecarCommand.TransferBlocks.class).get(1);
    assertThat(export.isImport()).isFalse();
    assertThat(export.keys()).containsExactlyElementsIn(RULEBOOK);
  }

  @Test
  void sharedPartIsExportedAtItsOwnDepth() {
    SidecarHarness sidecar = withStore();
    List<BlockKey> shared = keys("tenant", 6);
    for (int request = 0; request < 3; request++) {
      List<BlockKey> chain = new ArrayList<>(shared);
      chain.addAll(keys("own-" + request, 1));
      sidecar.send(offer("one-" + request).keys(chain));
      sidecar.tokens(attempt("one-" + request), 0, 1);
      sidecar.end(attempt("one-" + request), 1);
    }
    sidecar.pass(500_000);

    assertThat(onlyTransfer(sidecar).keys()).containsExactlyElementsIn(shared);
  }

  private static void exportRest(SidecarHarness sidecar) {
    for (int review = 0; review < 4; review++) {
      load(sidecar, "more-" + review, RULEBOOK, 10, 500_000);
      List<SidecarCommand.TransferBlocks> transfers =
          sidecar.commands(SidecarCommand.TransferBlocks.class);
      SidecarCommand.TransferBlocks last = transfers.get(transfers.size() - 1);
      sidecar.handle(new SidecarEvent.TransferEnded(last.token(), last.keys()));
    }
  }

  /** Reports blocks as stored, or as evicted. */
  private static void cacheChanges(
      SidecarHarness sidecar, long sequence, List<BlockKey> keys, boolean isStored) {
    List<CacheChange> changes = keys.stream().map(key -> new CacheChange(key, isStored)).toList();
    sidecar.handle(new SidecarEvent.CacheChanged("e-1", sequence, changes));
  }

  private static SidecarHarness withStore() {
    SidecarHarness sidecar = SidecarHarness.ready(4);
    sidecar.instances(1, false, true);
    return sidecar;
  }

  private static SidecarCommand.TransferBlocks onlyTransfer(SidecarHarness sidecar) {
    List<SidecarCommand.TransferBlocks> transfers =
        sidecar.commands(SidecarCommand.TransferBlocks.class);
    assertThat(transfers).hasSize(1);
    return transfers.get(0);
  }

  /** Returns the rulebook prefix followed by two blocks that are unique to the request. */
  private static List<BlockKey> chain(int request) {
    List<BlockKey> chain = new ArrayList<>(RULEBOOK);
    chain.addAll(keys("own-" + request, 2));
    return chain;
  }

  /** Submits requests at a rate; each run takes 100 ms of a slot. */
  private static void load(
      SidecarHarness sidecar, String name, List<BlockKey> chain, int perSecond, long micros) {
    long end = sidecar.nowMicros + micros;
    Map<AttemptId, Long> startedMicros = new LinkedHashMap<>();
    for (int request = 0; sidecar.nowMicros < end; request++) {
      sidecar.send(
          offer(name + "-" + request).keys(chain).deadline(sidecar.nowMicros + 900_000_000L));
      long next = sidecar.nowMicros + 1_000_000 / perSecond;
      while (sidecar.nowMicros < next) {
        sidecar.pass(Math.min(10_000, next - sidecar.nowMicros));
        finishRuns(sidecar, startedMicros);
      }
    }
  }

  private static void finishRuns(SidecarHarness sidecar, Map<AttemptId, Long> startedMicros) {
    for (AttemptId run : sidecar.started()) {
      long started = startedMicros.computeIfAbsent(run, first -> sidecar.nowMicros);
      if (started + 100_000 <= sidecar.nowMicros) {
        sidecar.end(run, 0);
      }
    }
  }

  private static Hint hint(SidecarHarness sidecar, String request, List<BlockKey> chain, int rank) {
    sidecar.receive(
        offer(request).keys(chain).rank(rank).deadline(sidecar.nowMicros + 900_000_000L).build());
    return sidecar.reply(attempt(request)).hint();
  }
}
