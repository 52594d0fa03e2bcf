package org.shallothook.coordination.registry;

import static com.google.common.truth.Truth.assertWithMessage;
import static org.shallothook.coordination.registry.RestoredStoreFleet.SECOND;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Covers a store that is restored from a copy, so that its offsets are given out again. */
final class RestoredStoreTest {
  private static final int PROCESSES = 4;

  private static void assertVersionEverywhere(RestoredStoreFleet fleet, long version) {
    fleet.nodes.forEach(
        (name, node) -> assertWithMessage(name).that(node.version()).isEqualTo(version));
  }

  // Guards against a change that was written after a restore, at a known offset, not being applied.
  @ParameterizedTest
  @CsvSource({
    "1, 0, 2", "4, 0, 2", "4, 0, 9", "8, 0, 1", "4, 1, 2", "4, 2, 2", "8, 5, 3",
  })
  void aChangeWrittenAfterARestoreIsApplied(int lost, int writtenAgain, int written) {
    RestoredStoreFleet fleet = new RestoredStoreFleet();
    fleet.startAll(PROCESSES);
    for (long version = 1; version <= 10; version++) {
      fleet.publish(version);
      fleet.advance(SECOND / 2);
    }
    assertVersionEverywhere(fleet, 10);

    fleet.setDown(true);
    fleet.advance(2 * SECOND);
    fleet.restoreWithout(RegistryStream.OPERATOR, lost);
    for (int again = 0; again < writtenAgain; again++) {
      fleet.publish(10);
    }
    fleet.setDown(false);
    fleet.advance(SECOND);
    for (int change = 1; change <= written; change++) {
      fleet.publish(10 + change);
      fleet.advance(2 * SECOND);
      assertVersionEverywhere(fleet, 10 + change);
    }
  }
}
