package org.shallothook.transport.forward;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class MemoryBudgetTest {
  private static final long MAXIMUM_BYTES = 1_000;
  private static final long LARGE_MAXIMUM_BYTES = 1_000_000;

  private final List<FakeHolder> holders = new ArrayList<>();
  private final List<Runnable> scheduled = new ArrayList<>();
  private final MemoryBudget budget =
      new MemoryBudget(MAXIMUM_BYTES, () -> holders, (delay, task) -> scheduled.add(task));

  private final MemoryBudget largeBudget =
      new MemoryBudget(LARGE_MAXIMUM_BYTES, () -> holders, (delay, task) -> scheduled.add(task));

  /** A caller that holds a given number of bytes until it is shed. */
  private static final class FakeHolder implements MemoryBudget.Holder {
    private long heldBytes;
    private boolean isPaused;
    private boolean isShed;

    FakeHolder(long heldBytes) {
      this.heldBytes = heldBytes;
    }

    @Override
    public long heldBytes() {
      return heldBytes;
    }

    @Override
    public void pauseReading(boolean shouldPause) {
      isPaused = shouldPause;
    }

    @Override
    public void shed() {
      isShed = true;
      heldBytes = 0;
    }
  }

  private FakeHolder holder(long heldBytes) {
    FakeHolder holder = new FakeHolder(heldBytes);
    holders.add(holder);
    return holder;
  }

  @Test
  void nothingIsPausedUpToHalfOfTheMaximum() {
    FakeHolder only = holder(500);

    budget.check();

    assertThat(only.isPaused).isFalse();
    assertThat(scheduled).isEmpty();
  }

  /** Guards against callers who hold little being paused together with those who hold much. */
  @Test
  void onlyCallersAboveTheirShareArePaused() {
    FakeHolder large = holder(600);
    FakeHolder small = holder(100);
    FakeHolder idle = holder(0);

    budget.check();

    assertThat(large.isPaused).isTrue();
    assertThat(small.isPaused).isFalse();
    assertThat(idle.isPaused).isFalse();
    assertThat(large.isShed).isFalse();
  }

  /** Guards against a caller who has read everything waiting for others who still hold much. */
  @Test
  void aCallerWhoHasReadIsResumedWhileOthersStayPaused() {
    FakeHolder first = holder(400);
    FakeHolder second = holder(400);
    budget.check();
    first.heldBytes = 0;
    second.heldBytes = 600;

    scheduled.remove(0).run();

    assertThat(first.isPaused).isFalse();
    assertThat(second.isPaused).isTrue();
  }

  @Test
  void everyCallerIsResumedBelowHalfOfTheMaximum() {
    FakeHolder first = holder(600);
    budget.check();
    first.heldBytes = 499;

    scheduled.remove(0).run();

    assertThat(first.isPaused).isFalse();
    assertThat(scheduled).isEmpty();
  }

  /**
   * Guards against more being held than the maximum, and against shedding those who hold little.
   */
  @Test
  void theLargestAreShedUntilAQuarterIsFree() {
    FakeHolder small = holder(200);
    FakeHolder largest = holder(500);
    FakeHolder large = holder(400);

    budget.check();

    assertThat(largest.isShed).isTrue();
    assertThat(large.isShed).isFalse();
    assertThat(small.isShed).isFalse();
  }

  @Test
  void readingFromServersLeadsToACheck() {
    FakeHolder largest = holder(MAXIMUM_BYTES + 1);
    EmbeddedChannel server = new EmbeddedChannel(budget);

    server.writeInbound(Unpooled.wrappedBuffer(new byte[MemoryBudget.CHECK_INTERVAL_BYTES - 1]));
    assertThat(largest.isShed).isFalse();
    server.writeInbound(Unpooled.wrappedBuffer(new byte[1]));

    assertThat(largest.isShed).isTrue();
    assertThat(server.finishAndReleaseAll()).isTrue();
  }

  /** Guards against large buffers that are kept whole for a few bytes of a response. */
  @Test
  void theUnusedPartOfAReceivedBufferIsNotKept() {
    EmbeddedChannel server = new EmbeddedChannel(budget);

    server.writeInbound(Unpooled.buffer(MemoryBudget.CHECK_INTERVAL_BYTES).writeLong(1));

    ByteBuf kept = server.readInbound();
    assertThat(kept.readLong()).isEqualTo(1);
    assertThat(kept.capacity()).isLessThan(MemoryBudget.CHECK_INTERVAL_BYTES / 64);
    kept.release();
    assertThat(server.finishAndReleaseAll()).isFalse();
  }

  /** Guards against responses that exceed the maximum in the time until the next check. */
  @Test
  void theLessIsFreeTheEarlierResponsesAreChecked() {
    FakeHolder only = holder(MAXIMUM_BYTES - 100);
    EmbeddedChannel server = new EmbeddedChannel(budget);
    budget.check();
    only.heldBytes = MAXIMUM_BYTES + 1;

    server.writeInbound(Unpooled.wrappedBuffer(new byte[2]));

    assertThat(only.isShed).isTrue();
    assertThat(server.finishAndReleaseAll()).isTrue();
  }

  /** Guards against small requests that are refused because large bodies use up the memory. */
  @Test
  void largeBodiesLeaveRoomForSmallOnesAndBothForResponses() {
    assertThat(largeBudget.reserve(750_000, 750_000)).isTrue();
    assertThat(largeBudget.reserve(1, 750_001)).isFalse();
    assertThat(largeBudget.reserve(60_000, 60_000)).isTrue();
    assertThat(largeBudget.reserve(60_000, 60_000)).isTrue();
    assertThat(largeBudget.reserve(60_000, 60_000)).isFalse();
    assertThat(largeBudget.reserve(0, 0)).isTrue();

    largeBudget.release(60_000);

    assertThat(largeBudget.reserve(60_000, 60_000)).isTrue();
    assertThat(largeBudget.reservedBytes()).isEqualTo(870_000);
  }

  /** Guards against bodies and responses that are each within the maximum, but not their sum. */
  @Test
  void memoryReservedForBodiesIsNotForResponses() {
    FakeHolder only = holder(300_000);
    largeBudget.check();

    assertThat(largeBudget.reserve(450_001, 450_001)).isFalse();
    assertThat(largeBudget.reserve(450_000, 450_000)).isTrue();
    largeBudget.check();
    assertThat(only.isPaused).isTrue();
    only.heldBytes = 550_001;
    largeBudget.check();

    assertThat(only.isShed).isTrue();
  }
}
