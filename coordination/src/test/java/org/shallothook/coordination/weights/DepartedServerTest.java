package org.shallothook.coordination.weights;

import static com.google.common.truth.Truth.assertThat;
import static org.shallothook.coordination.weights.AddedServerFleet.SECOND;
import static org.shallothook.coordination.weights.AddedServerFleet.host;

import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a rollout that waits for servers which have left. */
final class DepartedServerTest {
  private static final int SEEDS = 100;
  private static final long STEP_MICROS = 50_000;

  /** Time by which the last server of a rollout starts in any case, in milliseconds. */
  private static final long LAST_START_MILLIS = 6_000;

  private static AddedServerFleet start(long seed, int servers) {
    AddedServerFleet fleet = new AddedServerFleet(seed);
    fleet.setDesiredVersion(1);
    for (int index = 1; index <= servers; index++) {
      fleet.addServer(id(seed, index));
      fleet.startSidecar(host(index), 0);
    }
    fleet.run(60 * SECOND);
    return fleet;
  }

  private static String id(long seed, int index) {
    return "engine-" + seed + "-" + index;
  }

  /** Returns when the last of the first servers has a new version, in milliseconds. */
  private static long updatedAfterMillis(AddedServerFleet fleet, long seed, int remaining) {
    long startMicros = fleet.now();
    fleet.setDesiredVersion(2);
    while (IntStream.rangeClosed(1, remaining)
        .anyMatch(index -> fleet.versionOf(id(seed, index)) < 2)) {
      fleet.run(STEP_MICROS);
    }
    return (fleet.now() - startMicros) / 1_000;
  }

  @ParameterizedTest(name = "{1} of {0} servers have left")
  @CsvSource({"3, 1", "3, 2", "8, 4"})
  void theOthersDoNotWaitForServersThatHaveLeft(int servers, int left) {
    long slowestMillis = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      AddedServerFleet fleet = start(seed, servers);
      int readsBefore = fleet.serversReads();
      for (int index = servers - left + 1; index <= servers; index++) {
        fleet.removeServer(id(seed, index));
      }
      fleet.run(5 * SECOND);
      slowestMillis = Math.max(slowestMillis, updatedAfterMillis(fleet, seed, servers - left));
      assertThat(fleet.serversReads() - readsBefore).isAtMost(servers - left);
    }
    assertThat(slowestMillis).isLessThan(LAST_START_MILLIS);
  }

  /** The store is not asked as long as servers take their turns. */
  @ParameterizedTest
  @ValueSource(ints = {3, 8, 16})
  void nothingIsReadWhileServersTakeTheirTurns(int servers) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      AddedServerFleet fleet = start(seed, servers);
      int readsBefore = fleet.serversReads();
      updatedAfterMillis(fleet, seed, servers);
      assertThat(fleet.serversReads()).isEqualTo(readsBefore);
    }
  }
}
