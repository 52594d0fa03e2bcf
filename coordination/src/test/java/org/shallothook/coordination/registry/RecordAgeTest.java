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
final class RecordAgeTest implements RegistryListener {
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
    core.onTick(nowMicros);
    core.handle(
        new RegistryEvent.PageRead(
            RegistryStream.OPERATOR,
            "",
            Either.right(new NewestPage(List.of(), false, 0)),
            Optional.empty()),
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
        .writtenAfterMicros()
        .map(micros -> (nowMicros - micros) / MILLI);
  }

  @Test
  void aRecordOfTheFirstScanMayBeOfAnyAge() {
    core.onTick(nowMicros);
    KeyedRecord record = new KeyedRecord(0, KEY, Optional.of("2"));
    core.handle(
        new RegistryEvent.PageRead(
            RegistryStream.OPERATOR,
            "",
            Either.right(new NewestPage(List.of(record), false, 1)),
            Optional.empty()),
        nowMicros);
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

  @ParameterizedTest(name = "a peer says at most {0} ms (-1: unknown): at most {1} ms old")
  @CsvSource({"200, 700", "-1, 6000", "9000, 6000"})
  void aPeerTellsTheAgeOfARecordDuringAnOutage(long ageMillis, long maximumMillis) {
    scanNothing();
    run(SECOND);
    read(Either.left(ReadFailure.of("timeout")));
    run(5 * SECOND);
    Optional<Long> ageMicros =
        Optional.of(ageMillis).filter(millis -> millis >= 0).map(millis -> millis * MILLI);
    receive(
        new PeerMessage.ConfigurationRecords(
            List.of(new LogRecord(0, 0, KEY + "\n2")), 0, ageMicros));
    assertThat(maximumAgeMillis()).hasValue(maximumMillis);
  }

  private void receive(PeerMessage message) {
    core.handle(
        new RegistryEvent.PeerMessageReceived(new Envelope("router-2", 1, 0, message)), nowMicros);
  }

  @Override
  public void onChanges(RegistryChanges changed, long atMicros) {
    changes.add(changed);
  }

  @Override
  public void onReachabilityChanged(boolean isReachable, long atMicros) {}

  @Override
  public void onStoreRestored(long era, String offsets, long atMicros) {}

  @Override
  public void onInterrupted(long pauseMicros, long atMicros) {}

  @Override
  public void onMessage(Envelope envelope, long atMicros) {}
}
