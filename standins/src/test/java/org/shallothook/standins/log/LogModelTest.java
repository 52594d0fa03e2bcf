package org.shallothook.standins.log;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.shallothook.standins.fault.RequestFault;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.log.LogRecord;

final class LogModelTest {
  private static final String STREAM = "configuration";

  private final LogModel log = new LogModel(new LogSettings(3, 1_000_000, 100));

  @Test
  void retentionByCountAndByAgeAdvancesTheFirstOffset() {
    for (int record = 0; record < 5; record++) {
      log.append(STREAM, "r" + record, 0);
    }
    LogPage page = log.read(STREAM, 0, 10, 0).orElseThrow();
    assertThat(page.firstRetained()).isEqualTo(2);
    assertThat(page.records().stream().map(LogRecord::offset)).containsExactly(2L, 3L, 4L);
    LogPage aged = log.read(STREAM, 0, 10, 1_000_001).orElseThrow();
    assertThat(aged.records()).isEmpty();
    assertThat(aged.firstRetained()).isEqualTo(5);
    assertThat(aged.end()).isEqualTo(5);
  }

  @Test
  void requestIsAppliedIfItsResponseIsLostAndNotIfItIsDropped() {
    log.disturbances().dropResponses(1);
    AppendResult lost = log.append(STREAM, "taken", 0);
    assertThat(lost.fault()).isEqualTo(RequestFault.ANSWER_LOST);
    log.disturbances().dropRequests(1);
    AppendResult dropped = log.append(STREAM, "dropped", 0);
    assertThat(dropped.fault()).isEqualTo(RequestFault.DROPPED);
    LogPage page = log.read(STREAM, 0, 10, 0).orElseThrow();
    assertThat(page.records().stream().map(LogRecord::payload)).containsExactly("taken");
  }

  @Test
  void outageEndsAtItsDeadline() {
    log.disturbances().setOutageUntil(500);
    assertThat(log.append(STREAM, "early", 499).fault()).isEqualTo(RequestFault.REFUSED);
    assertThat(log.read(STREAM, 0, 10, 499)).isEmpty();
    assertThat(log.append(STREAM, "late", 500).offset()).hasValue(0);
  }

  @Test
  void appendsOverTheRateLimitAreRefused() {
    for (int record = 0; record < 100; record++) {
      assertThat(log.append(STREAM, "r", 0).fault()).isEqualTo(RequestFault.SERVED);
    }
    assertThat(log.append(STREAM, "r", 0).fault()).isEqualTo(RequestFault.REFUSED);
    assertThat(log.append(STREAM, "r", 1_000_000).fault()).isEqualTo(RequestFault.SERVED);
  }
}
