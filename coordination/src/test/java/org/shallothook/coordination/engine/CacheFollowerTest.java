package org.shallothook.coordination.engine;

import static com.google.common.truth.Truth.assertThat;
import static org.shallothook.coordination.sidecar.SidecarHarness.attempt;
import static org.shallothook.coordination.sidecar.SidecarHarness.keys;
import static org.shallothook.coordination.sidecar.SidecarHarness.offer;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.coordination.sidecar.CacheChange;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarHarness;
import org.shallothook.state.cache.BlockKey;

final class CacheFollowerTest {
  private static final List<BlockKey> CHAIN = keys("rulebook", 4);

  private final SidecarHarness sidecar = SidecarHarness.ready(2);

  @BeforeEach
  void cacheTwoBlocks() {
    change("e-1", 0, true, CHAIN.get(0), CHAIN.get(1));
  }

  @Test
  void hintGivesLongestCachedPrefix() {
    assertThat(matched("one")).isEqualTo(2);
    change("e-1", 2, true, CHAIN.get(3));
    assertThat(matched("two")).isEqualTo(2);
    change("e-1", 3, true, CHAIN.get(2));
    assertThat(matched("three")).isEqualTo(4);
    change("e-1", 4, false, CHAIN.get(0));
    assertThat(matched("four")).isEqualTo(0);
  }

  @ParameterizedTest
  @CsvSource({"2", "5"})
  void emptyResponseRevealsGapOnlyIfItStartsTooLate(long firstSequence) {
    sidecar.handle(new SidecarEvent.CacheChanged("e-1", firstSequence, List.of()));

    assertThat(sidecar.commands(SidecarCommand.ListCache.class))
        .hasSize(firstSequence == 2 ? 0 : 1);
  }

  @Test
  void listingResynchronisesAfterGapAndCountsDroppedBlocks() {
    change("e-1", 7, true, CHAIN.get(2));
    assertThat(sidecar.commands(SidecarCommand.ListCache.class)).hasSize(1);

    sidecar.handle(new SidecarEvent.CacheListed("e-1", 8, List.of(CHAIN.get(0))));

    assertThat(matched("one")).isEqualTo(1);
    assertThat(sidecar.counters).containsEntry("cache.gap", 1);
    assertThat(sidecar.counters).containsEntry("cache.dropped-listing", 1);
  }

  @Test
  void indexIsDroppedWhenNoListingComesAfterGap() {
    change("e-1", 7, true, CHAIN.get(2));
    sidecar.pass(2_000_000);

    assertThat(matched("one")).isEqualTo(0);
    assertThat(sidecar.counters).containsEntry("cache.dropped-stale", 2);
  }

  @Test
  void newIncarnationDropsBlocksAndIgnoresOldEvents() {
    sidecar.status("e-2");
    change("e-1", 2, true, CHAIN.get(0));
    sidecar.handle(new SidecarEvent.CacheListed("e-1", 9, CHAIN));

    assertThat(matched("one")).isEqualTo(0);
    assertThat(sidecar.counters).containsEntry("cache.dropped-incarnation", 2);
  }

  @Test
  void recentlyComputedBlocksDoNotOutliveIncarnation() {
    sidecar.send(offer("one").keys(CHAIN));
    sidecar.tokens(attempt("one"), 0, 1);
    assertThat(matched("two")).isEqualTo(4);

    sidecar.status("e-2");
    assertThat(matched("three")).isEqualTo(0);
  }

  @Test
  void unloadedVersionChecksWholeIndex() {
    sidecar.status("e-1", List.of(), false);

    assertThat(sidecar.commands(SidecarCommand.ListCache.class)).hasSize(1);
  }

  private int matched(String request) {
    sidecar.receive(offer(request).keys(CHAIN).build());
    return sidecar.reply(attempt(request)).hint().matchedBlocks();
  }

  private void change(String incarnation, long sequence, boolean isStored, BlockKey... changed) {
    List<CacheChange> changes =
        List.of(changed).stream().map(key -> new CacheChange(key, isStored)).toList();
    sidecar.handle(new SidecarEvent.CacheChanged(incarnation, sequence, changes));
  }
}
