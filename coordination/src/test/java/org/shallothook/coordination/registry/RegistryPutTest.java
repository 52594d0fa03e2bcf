package org.shallothook.coordination.registry;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceRole;

/** Covers records that a process writes to the store, whose answers may be lost. */
final class RegistryPutTest implements QuietRegistryListener {
  private static final long SECOND = 1_000_000;
  private static final RegistryStream STREAM = RegistryStream.QUARANTINES;

  private final List<RegistryCommand.Put> puts = new ArrayList<>();
  private final RegistryCore core =
      new RegistryCore(
          new RegistryOptions(
              new Instance(
                  "router-1", InstanceRole.ROUTER, "10.0.0.1:1", "domain", "region", "", false),
              Map.of(RegistryStream.OPERATOR, new PollingPolicy(0, SECOND)),
              Map.of(),
              1),
          this::execute,
          this);
  private long nowMicros = SECOND;

  private void execute(RegistryCommand command) {
    if (command instanceof RegistryCommand.Put put) {
      puts.add(put);
    }
  }

  private void advance(long micros) {
    long end = nowMicros + micros;
    while (nowMicros < end) {
      nowMicros += SECOND / 10;
      core.onTick(nowMicros);
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aWriteIsRepeatedUntilItHasSucceeded(boolean isAnswered) {
    core.put(STREAM, "key", Optional.of("value"), nowMicros);
    assertThat(puts).hasSize(1);
    if (isAnswered) {
      core.handle(new RegistryEvent.PutEnded(STREAM, "key", false, Optional.empty()), nowMicros);
    }
    advance(4 * SECOND);
    assertThat(puts).hasSize(2);
    core.handle(new RegistryEvent.PutEnded(STREAM, "key", true, Optional.empty()), nowMicros);
    advance(20 * SECOND);
    assertThat(puts).hasSize(2);
  }

  @Test
  void aNewerValueReplacesOneThatIsNotWrittenYet() {
    core.put(STREAM, "key", Optional.of("value"), nowMicros);
    core.put(STREAM, "key", Optional.empty(), nowMicros);
    advance(4 * SECOND);
    assertThat(puts.get(puts.size() - 1).value()).isEmpty();
    assertThat(puts).hasSize(3);
  }

  // Guards against writes that pile up while the store is away.
  @Test
  void theNumberOfPendingWritesIsBounded() {
    for (int key = 0; key < 1_000; key++) {
      core.put(STREAM, "key-" + key, Optional.of("value"), nowMicros);
    }
    puts.clear();
    advance(4 * SECOND);
    assertThat(puts.size()).isAtMost(256);
    assertThat(puts.get(puts.size() - 1).key()).isEqualTo("key-999");
  }
}
