package org.shallothook.coordination.registry;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.shallothook.state.log.KeyedRecord;
import org.shallothook.state.log.RecordVersions;

/** Reads that fail, find expired records, or overlap with appends. */
final class KeyedFollowerTest {
  private static final long SECOND = 1_000_000;
  private final KeyedFollower follower =
      new KeyedFollower(
          RegistryStream.SERVERS,
          new PollingPolicy(SECOND, 0),
          RecordVersions.NONE,
          new SplittableRandom(1));

  private static KeyedRecord put(long offset, String key, String value) {
    return new KeyedRecord(offset, key, Optional.of(value));
  }

  private List<KeyedRecord> page(boolean hasMore, long end, KeyedRecord... items) {
    assertThat(follower.nextRead(0).get()).isInstanceOf(RegistryCommand.ReadNewest.class);
    return follower.onPage(Either.right(new NewestPage(List.of(items), hasMore, end)), 0);
  }

  private List<KeyedRecord> read(long next, long end, KeyedRecord... records) {
    assertThat(follower.nextRead(0).isPresent()).isTrue();
    return follower.onRead(Either.right(new RecordsRead(List.of(records), next, end)), 0);
  }

  @Test
  void theScanOfNewestRecordsComesFirst() {
    assertThat(page(true, 9, put(3, "a", "1"))).hasSize(1);
    assertThat(follower.isComplete()).isFalse();
    assertThat(page(false, 11, put(8, "b", "2"))).hasSize(1);
    assertThat(follower.isComplete()).isTrue();
  }

  @Test
  void followingStartsAtTheEndOffsetOfTheFirstPage() {
    assertThat(page(true, 9, put(3, "a", "1"))).hasSize(1);
    assertThat(page(false, 12, put(11, "b", "2"))).hasSize(1);
    assertThat(follower.nextRead(0))
        .hasValue(new RegistryCommand.Read(RegistryStream.SERVERS, 9, SECOND));
  }

  @Test
  void anOlderRecordChangesNothing() {
    assertThat(page(false, 9, put(8, "a", "new"))).hasSize(1);
    assertThat(read(10, 10, put(4, "a", "old"))).isEmpty();
    assertThat(follower.state().value("a")).hasValue("new");
  }

  @Test
  void oneReadIsOutstandingAtATime() {
    assertThat(follower.nextRead(0).isPresent()).isTrue();
    assertThat(follower.nextRead(0).isPresent()).isFalse();
  }

  @Test
  void aFailedReadIsRetriedLater() {
    assertThat(follower.nextRead(0).isPresent()).isTrue();
    assertThat(follower.onPage(Either.left(ReadFailure.of("timeout")), 0)).isEmpty();
    assertThat(follower.isFailing()).isTrue();
    assertThat(follower.nextRead(1_000).isPresent()).isFalse();
    assertThat(follower.nextRead(SECOND).isPresent()).isTrue();
  }

  @Test
  void expiredHistoryCausesARescanThatDropsMissingKeys() {
    assertThat(page(false, 9, put(3, "a", "1"), put(5, "b", "2"))).hasSize(2);
    assertThat(follower.nextRead(0).isPresent()).isTrue();
    assertThat(follower.onRead(Either.left(ReadFailure.ofExpiredRecords()), 0)).isEmpty();
    List<KeyedRecord> changes = page(false, 40, put(30, "a", "3"));
    assertThat(changes)
        .containsExactly(put(30, "a", "3"), new KeyedRecord(5, "b", Optional.empty()));
  }

  @Test
  void aKeyWrittenDuringAScanIsKept() {
    assertThat(page(false, 9, put(3, "a", "1"))).hasSize(1);
    assertThat(read(11, 11, put(10, "c", "4"))).hasSize(1);
    assertThat(follower.nextRead(0).isPresent()).isTrue();
    assertThat(follower.onRead(Either.left(ReadFailure.ofExpiredRecords()), 0)).isEmpty();
    assertThat(page(false, 10, put(3, "a", "1"))).isEmpty();
    assertThat(follower.state().value("c")).hasValue("4");
  }
}
