package org.shallothook.coordination.hotprefix;

import static com.google.common.truth.Truth.assertThat;
import static org.shallothook.coordination.sidecar.SidecarHarness.attempt;
import static org.shallothook.coordination.sidecar.SidecarHarness.keys;
import static org.shallothook.coordination.sidecar.SidecarHarness.offer;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.coordination.message.Hint;
import org.shallothook.coordination.sidecar.CacheChange;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarHarness;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.request.RefusalReason;

/** Shared prefixes that compete for an engine's limited cache. */
final class CacheCapacityTest {
  private static final int PREFIX_BLOCKS = 8;
  private static final List<BlockKey> FIRST = keys("first", PREFIX_BLOCKS);
  private static final List<BlockKey> SECOND = keys("second", PREFIX_BLOCKS);
  private static final List<BlockKey> THIRD = keys("third", PREFIX_BLOCKS);
  private static final List<BlockKey> FOURTH = keys("fourth", PREFIX_BLOCKS);

  @Test
  void blocksEvictedInTheQueueAreImportedBeforeTheStart() {
    SidecarHarness sidecar = SidecarHarness.ready(2, SidecarHarness.options().maximumPrefills(1));
    sidecar.instances(1, false, true);
    sidecar.handle(new SidecarEvent.CacheChanged("e-1", 0, changes(FIRST, true)));
    sidecar.send(offer("prefilling").keys(keys("small", 4)));
    sidecar.send(offer("waiting").keys(FIRST).rank(1));
    sidecar.handle(new SidecarEvent.CacheChanged("e-1", 8, changes(FIRST, false)));
    sidecar.tokens(attempt("prefilling"), 0, 1);

    assertThat(sidecar.started()).containsExactly(attempt("prefilling"));
    List<SidecarCommand.TransferBlocks> imports = imports(sidecar);
    assertThat(imports).hasSize(1);
    assertThat(imports.get(0).keys()).containsExactlyElementsIn(FIRST);
    sidecar.handle(new SidecarEvent.TransferEnded(imports.get(0).token(), FIRST));
    assertThat(sidecar.started())
        .containsExactly(attempt("prefilling"), attempt("waiting"))
        .inOrder();
  }

  /**
   * Evictions are estimated with seven eighths of the capacity, since the engine records a use
   * later than the sidecar.
   */
  @ParameterizedTest
  @CsvSource({"16, 6", "17, 7", "18, 8"})
  void evictionIsExpectedBeforeItIsReported(int capacityBlocks, int matchedOfSecond) {
    SidecarHarness sidecar = SidecarHarness.ready(8);
    reportEvictionAt(sidecar, capacityBlocks);
    use(sidecar, "one", FIRST);
    use(sidecar, "two", SECOND);
    use(sidecar, "three", THIRD);

    assertThat(hint(sidecar, "first", FIRST, 0).matchedBlocks()).isEqualTo(0);
    assertThat(hint(sidecar, "second", SECOND, 0).matchedBlocks()).isEqualTo(matchedOfSecond);
    assertThat(hint(sidecar, "third", THIRD, 0).matchedBlocks()).isEqualTo(PREFIX_BLOCKS);
  }

  @ParameterizedTest
  @CsvSource({"1, 0, QUEUE_FULL", "0, 0, ", "1, 5000000, "})
  void prefixOfOtherHomeIsRefusedWhileItWouldEvictBlocksInUse(
      int rank, long idleMicros, RefusalReason reason) {
    SidecarHarness sidecar = SidecarHarness.ready(8);
    reportEvictionAt(sidecar, PREFIX_BLOCKS);
    use(sidecar, "one", FIRST);
    sidecar.end(attempt("one"), 1);
    sidecar.pass(idleMicros);

    assertThat(sidecar.send(offer("other").keys(SECOND).rank(rank)).orElse(null)).isEqualTo(reason);
    assertThat(sidecar.counters.getOrDefault("offers.refused-for-room", 0))
        .isEqualTo(reason == null ? 0 : 1);
  }

  @Test
  void nextPrefixWaitsBehindCachedOnesForLimitedTime() {
    SidecarHarness sidecar = SidecarHarness.ready(8);
    sidecar.instances(1, false, true);
    reportEvictionAt(sidecar, 2 * PREFIX_BLOCKS);
    useImported(sidecar, "one", FIRST);
    useImported(sidecar, "two", SECOND);
    useImported(sidecar, "three", THIRD);
    sidecar.send(offer("four").keys(FOURTH));
    sidecar.send(offer("cached").keys(THIRD));
    assertThat(imports(sidecar)).hasSize(3);
    assertThat(sidecar.started()).contains(attempt("cached"));

    sidecar.pass(200_000);
    assertThat(imports(sidecar)).hasSize(4);
    assertThat(imports(sidecar).get(3).keys()).containsExactlyElementsIn(FOURTH);
  }

  @ParameterizedTest
  @CsvSource({"true, 8, 16000", "false, 0, 0"})
  void hintCountsBlocksThatWouldBeImported(boolean hasStore, int matched, long delayMicros) {
    SidecarHarness sidecar = SidecarHarness.ready(8);
    sidecar.instances(1, false, hasStore);
    Hint hint = hint(sidecar, "probe", FIRST, 1);

    assertThat(hint.matchedBlocks()).isEqualTo(matched);
    assertThat(hint.queueDelayMicros()).isEqualTo(delayMicros);
  }

  @Test
  void hintDoesNotCountBlocksMissingFromStore() {
    SidecarHarness sidecar = SidecarHarness.ready(8);
    sidecar.instances(1, false, true);
    sidecar.send(offer("one").keys(FIRST).rank(1));
    sidecar.handle(new SidecarEvent.TransferEnded(imports(sidecar).get(0).token(), List.of()));
    sidecar.status("e-2");

    assertThat(hint(sidecar, "probe", FIRST, 1).matchedBlocks()).isEqualTo(0);
  }

  /** Reports an eviction by a cache that holds the given number of blocks. */
  private static void reportEvictionAt(SidecarHarness sidecar, int capacityBlocks) {
    List<CacheChange> changes = new ArrayList<>(changes(keys("earlier", capacityBlocks + 1), true));
    changes.addAll(changes(keys("earlier", 1), false));
    sidecar.handle(new SidecarEvent.CacheChanged("e-1", 0, changes));
  }

  private static List<CacheChange> changes(List<BlockKey> keys, boolean isStored) {
    return keys.stream().map(key -> new CacheChange(key, isStored)).toList();
  }

  private static void use(SidecarHarness sidecar, String request, List<BlockKey> chain) {
    sidecar.send(offer(request).keys(chain));
    sidecar.tokens(attempt(request), 0, 1);
  }

  private static void useImported(SidecarHarness sidecar, String request, List<BlockKey> chain) {
    sidecar.pass(200_000);
    sidecar.send(offer(request).keys(chain));
    List<SidecarCommand.TransferBlocks> imports = imports(sidecar);
    sidecar.handle(new SidecarEvent.TransferEnded(imports.get(imports.size() - 1).token(), chain));
    sidecar.tokens(attempt(request), 0, 1);
  }

  private static List<SidecarCommand.TransferBlocks> imports(SidecarHarness sidecar) {
    return sidecar.commands(SidecarCommand.TransferBlocks.class).stream()
        .filter(SidecarCommand.TransferBlocks::isImport)
        .toList();
  }

  private static Hint hint(SidecarHarness sidecar, String request, List<BlockKey> chain, int rank) {
    sidecar.receive(offer(request).keys(chain).rank(rank).build());
    return sidecar.reply(attempt(request)).hint();
  }
}
