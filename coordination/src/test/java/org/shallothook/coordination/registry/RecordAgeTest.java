package org.shallothook.coordination.registry;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.log.KeyedRecord;
import org.shallothook.state.log.LogRecord;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceRole;

/** How old a record may be that a process reads: after pauses, outages and from peers. */
final class RecordAgeTest implements QuietRegistryListener {
  private static final long MILLI = 1_000;
  private static final long SECOND = 1_000_000;
  private static final long WAIT = 1_500 * MILLI;
  private static final long TICK = 40 * MILLI;
  private static final String KEY = "version/linen";

  private final List<RegistryCommand> commands = new ArrayList<>();
  private final List<RegistryChanges> changes = new ArrayList<>();
  private final RegistryCore core =
      new RegistryCore(
          new RegistryOptions(
              new Instance(
                  "router-1", InstanceRole.ROUTER, "10.0.0.1:1", "domain", "region", "", false),
              Map.of(RegistryStream.OPERATOR, new PollingPolicy(WAIT, 0)),
              Map.of(),
              1),
          commands::add,
          this);
  private long nowMicros = 100 * SECOND;

  private void run(long micros) {
    long until = nowMicros + micros;
    while (nowMicros < until) {
      nowMicros = Math.min(until, nowMicros + TICK);
      core.onTick(nowMicros);
    }
  }

  private void scanNothing() {
    scan(Optional.empty());
  }

  private void scan(Optional<Long> era, KeyedRecord... items) {
    core.onTick(nowMicros);
    core.handle(
        new RegistryEvent.PageRead(
            RegistryStream.OPERATOR,
            "",
            Either.right(new NewestPage(List.of(items), false, items.length)),
            era),
        nowMicros);
  }

  private void read(Either<ReadFailure, RecordsRead> result) {
    core.handle(
        new RegistryEvent.StreamRead(RegistryStream.OPERATOR, 0, result, Optional.empty()),
        nowMicros);
  }

  private void readVersion() {
    KeyedRecord record = new KeyedRecord(0, KEY, Optional.of("2"));
    read(Either.right(new RecordsRead(List.of(record), 1, 1)));
  }

  private void readNothing() {
    read(Either.right(new RecordsRead(List.of(), 0, 0)));
  }

  private Optional<Long> maximumAgeMillis() {
    return changes
        .get(changes.size() - 1)
        .written()
        .afterMicros()
        .map(micros -> (nowMicros - micros) / MILLI);
  }

  @Test
  void aRecordOfTheFirstScanMayBeOfAnyAge() {
    scan(Optional.empty(), new KeyedRecord(0, KEY, Optional.of("2")));
    assertThat(maximumAgeMillis()).isEmpty();
  }

  @ParameterizedTest(name = "a read answered after {0} ms: at most {1} ms old")
  @CsvSource({"40, 40", "400, 400", "520, 500", "1400, 500"})
  void aReadThatWasHeldReturnsANewRecord(long heldMillis, long maximumMillis) {
    scanNothing();
    run(heldMillis * MILLI);
    readVersion();
    assertThat(maximumAgeMillis()).hasValue(maximumMillis);
  }

  @Test
  void aReadThatReturnsNothingShowsThatNothingWasWritten() {
    scanNothing();
    run(WAIT);
    readNothing();
    run(40 * MILLI);
    readVersion();
    assertThat(maximumAgeMillis()).hasValue(40);
  }

  // Guards against taking a record for new that was written while the process did not run.
  @ParameterizedTest(name = "a pause of {0} ms: up to {1} ms old")
  @CsvSource({"4000, 4500", "600, 1100"})
  void aRecordReadAfterAPauseMayHaveBeenWrittenAtItsStart(long pauseMillis, long maximumMillis) {
    scanNothing();
    run(SECOND);
    nowMicros += pauseMillis * MILLI;
    readVersion();
    assertThat(maximumAgeMillis()).hasValue(maximumMillis);
  }

  // Guards against taking a record for new that was written while the store could not be read.
  @Test
  void aRecordReadAfterAnOutageMayHaveBeenWrittenAtItsStart() {
    scanNothing();
    for (int attempt = 0; attempt < 5; attempt++) {
      run(SECOND);
      read(Either.left(ReadFailure.of("timeout")));
    }
    run(SECOND);
    readVersion();
    assertThat(maximumAgeMillis()).hasValue(6_000);
  }

  // Guards against taking the age of a peer's record for that of the versions before it.
  @Test
  void aRecordOfAPeerMayHaveBeenWrittenSinceTheLastCompleteRead() {
    scanNothing();
    run(SECOND);
    read(Either.left(ReadFailure.of("timeout")));
    run(5 * SECOND);
    receive(recordsOfEra(0));
    assertThat(maximumAgeMillis()).hasValue(6_000);
  }

  // Guards against taking a record for new that the store lost when it was restored.
  @Test
  void aRecordOfAnEarlierEraMayBeOfAnyAge() {
    scan(Optional.of(2L));
    run(SECOND);
    receive(recordsOfEra(1));
    assertThat(maximumAgeMillis()).isEmpty();
  }

  // Guards against a second pause that hides the one right before it.
  @Test
  void aSecondPauseDoesNotHideTheFirst() {
    scanNothing();
    run(400 * MILLI);
    nowMicros += 4 * SECOND;
    core.onTick(nowMicros);
    nowMicros += 600 * MILLI;
    core.onTick(nowMicros);
    readVersion();
    assertThat(maximumAgeMillis()).hasValue(4_000 + 600 + 400);
  }

  // Guards against taking the delay of an answer for the time for which the store held the read.
  @ParameterizedTest(name = "a read that may wait {0} ms, answered after {1} ms: may be {2} ms old")
  @CsvSource({"1500, 2600, 1100", "0, 1200, 1200"})
  void aReadIsHeldForNoLongerThanItAsksFor(long waitMillis, long answeredMillis, long ageMillis) {
    scanNothing();
    if (waitMillis == 0) {
      read(Either.left(ReadFailure.of("503")));
      run(120 * MILLI);
    }
    run(answeredMillis * MILLI);
    readVersion();
    assertThat(maximumAgeMillis().orElseThrow()).isAtLeast(ageMillis);
  }

  private static PeerMessage recordsOfEra(long era) {
    return new PeerMessage.ConfigurationRecords(List.of(new LogRecord(0, 0, KEY + "\n2")), era);
  }

  private void receive(PeerMessage message) {
    core.handle(
        new RegistryEvent.PeerMessageReceived(new Envelope("router-2", 1, 0, message)), nowMicros);
  }

  @Override
  public void onChanges(RegistryChanges changed, long atMicros) {
    changes.add(changed);
  }
}
