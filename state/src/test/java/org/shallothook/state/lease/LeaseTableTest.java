package org.shallothook.state.lease;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.shallothook.state.log.LogRecord;

final class LeaseTableTest {
  private final LeaseTable table = new LeaseTable();

  private void fold(long micros, String payload) {
    table.fold(new LogRecord(table.nextOffset(), micros, payload));
  }

  @Test
  void positionsFollowLogOrderAndMoveUpWhenALeaseEndsOrExpires() {
    fold(0, LeaseTable.leaseRecord("a", 10));
    fold(1, LeaseTable.leaseRecord("b", 20));
    fold(2, LeaseTable.leaseRecord("c", 30));
    assertThat(table.positionAt("c", 5)).hasValue(2);
    assertThat(table.positionAt("c", 10)).hasValue(1);
    assertThat(table.positionAt("a", 10)).isEmpty();
    fold(11, LeaseTable.endRecord("b"));
    assertThat(table.positionAt("c", 11)).hasValue(0);
  }

  @Test
  void renewalKeepsThePositionUnlessTheLeaseHasExpired() {
    fold(0, LeaseTable.leaseRecord("a", 10));
    fold(1, LeaseTable.leaseRecord("b", 100));
    fold(5, LeaseTable.leaseRecord("a", 20));
    assertThat(table.positionAt("a", 15)).hasValue(0);
    fold(25, LeaseTable.leaseRecord("a", 100));
    assertThat(table.positionAt("a", 30)).hasValue(1);
  }

  @Test
  void endedLeaseIsNotRevivedByALateRecord() {
    fold(0, LeaseTable.endRecord("a"));
    fold(1, LeaseTable.leaseRecord("a", 10));
    assertThat(table.positionAt("a", 5)).isEmpty();
  }

  @Test
  void tooDistantDeadlinesAndMalformedRecordsAreIgnored() {
    fold(0, LeaseTable.leaseRecord("a", LeaseTable.MAXIMUM_DURATION_MICROS + 1));
    fold(0, "lease b");
    fold(0, "nonsense c 5");
    assertThat(table.activeCountAt(0)).isEqualTo(0);
    assertThat(table.malformedRecords()).isEqualTo(2);
  }
}
