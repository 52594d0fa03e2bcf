package org.shallothook.coordination.engine;

import static com.google.common.truth.Truth.assertThat;
import static org.shallothook.coordination.sidecar.SidecarHarness.attempt;
import static org.shallothook.coordination.sidecar.SidecarHarness.offer;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarCore;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarHarness;
import org.shallothook.state.cache.ModelVersion;

/** An idle engine is polled rarely, but changes of its state are still detected in time. */
final class EnginePollingTest {
  private static final long SECOND_MICROS = 1_000_000;
  private static final long SHORTEST_MICROS = 50_000;
  private static final long LEAVING_LIMIT_MICROS = 3 * SECOND_MICROS;
  private static final int MAXIMUM_READS_PER_SECOND = 5;

  private final SidecarHarness sidecar = SidecarHarness.ready(2);
  private boolean isLeaving;
  private int reads;

  @BeforeEach
  void idleForTenSeconds() {
    respondFor(10 * SECOND_MICROS);
    reads = 0;
  }

  @Test
  void idleEngineIsPolledRarely() {
    respondFor(10 * SECOND_MICROS);

    assertThat(reads).isAtMost(10 * MAXIMUM_READS_PER_SECOND);
    assertThat(reads).isAtLeast(10);
  }

  @Test
  void idleEngineThatLeavesIsNoticedInTime() {
    isLeaving = true;
    respondFor(LEAVING_LIMIT_MICROS);

    assertThat(sidecar.core.status().isLeaving()).isTrue();
  }

  @Test
  void offerAfterIdleTimeReadsEngineStatusImmediately() {
    sidecar.receive(offer("one").build());
    sidecar.receive(offer("two").build());

    assertThat(sidecar.commands(SidecarCommand.ReadEngineStatus.class)).hasSize(1);
  }

  @Test
  void submittedWorkReadsCacheChangesSoon() {
    sidecar.send(offer("one"));
    sidecar.pass(SHORTEST_MICROS + SidecarCore.TICK_INTERVAL_MICROS);

    assertThat(sidecar.commands(SidecarCommand.ReadCacheChanges.class)).hasSize(1);
  }

  @Test
  void brokenStreamReadsEngineStatusImmediately() {
    sidecar.send(offer("one"));
    sidecar.commands.clear();
    sidecar.handle(new SidecarEvent.EngineFailed(attempt("one"), true, "connection lost"));

    assertThat(sidecar.commands(SidecarCommand.ReadEngineStatus.class)).hasSize(1);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void orderedLoadIsReadBackSoon(boolean isFirstRead) {
    sidecar.handle(new SidecarEvent.OrderAnswered(1, Optional.of(true)));
    respondFor(isFirstRead ? 3 * SHORTEST_MICROS : 12 * SHORTEST_MICROS);

    assertThat(reads).isAtLeast(isFirstRead ? 1 : 3);
  }

  private void respondFor(long micros) {
    long end = sidecar.nowMicros + micros;
    while (sidecar.nowMicros < end) {
      sidecar.commands.clear();
      sidecar.pass(SidecarCore.TICK_INTERVAL_MICROS);
      List.copyOf(sidecar.commands).forEach(this::respond);
    }
    sidecar.commands.clear();
  }

  private void respond(SidecarCommand command) {
    if (command instanceof SidecarCommand.ReadEngineStatus) {
      reads++;
      List<ModelVersion> versions = List.of(SidecarHarness.VERSION);
      sidecar.status("e-1", versions, isLeaving);
    } else if (command instanceof SidecarCommand.ReadCacheChanges read) {
      reads++;
      sidecar.handle(new SidecarEvent.CacheChanged("e-1", read.fromSequence(), List.of()));
    }
  }
}
