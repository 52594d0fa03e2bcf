package org.shallothook.coordination.registry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.shallothook.coordination.registry.RestoredStoreFleet.SECOND;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.state.log.KeyedRecord;

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
    RestoredStoreFleet fleet = publishedFleet(10);

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

  // Guards against a restore that no process notices by a failed read.
  @ParameterizedTest
  @CsvSource({"1, 1", "4, 2", "8, 1", "8, 12"})
  void aRestoreWithoutAnOutageIsNoticed(int lost, int written) {
    RestoredStoreFleet fleet = publishedFleet(10);
    fleet.restoreWithout(RegistryStream.OPERATOR, lost);
    for (int change = 1; change <= written; change++) {
      fleet.publish(10 + change);
    }
    fleet.advance(2 * SECOND);
    assertVersionEverywhere(fleet, 10 + written);
  }

  // Guards against offsets of the first restore being compared with those of the second.
  @Test
  void twoRestoresMayFollowEachOther() {
    RestoredStoreFleet fleet = publishedFleet(10);
    fleet.restoreWithout(RegistryStream.OPERATOR, 3);
    fleet.advance(SECOND / 10);
    fleet.publish(11);
    fleet.restoreWithout(RegistryStream.OPERATOR, 4);
    fleet.publish(12);
    fleet.advance(2 * SECOND);
    assertVersionEverywhere(fleet, 12);
  }

  // Guards against a process that misses the restore reading on from an offset of before, although
  // the stream has grown beyond it.
  @ParameterizedTest
  @ValueSource(ints = {1, 5, 9, 30})
  void aProcessThatMissesARestoreReadsEverythingAnew(int written) {
    RestoredStoreFleet fleet = publishedFleet(10);
    fleet.setCutOff("router-1", true);
    fleet.advance(SECOND);
    fleet.restoreWithout(RegistryStream.OPERATOR, 5);
    fleet.write(RegistryStream.OPERATOR, "other", Optional.of("1"));
    for (int change = 1; change <= written; change++) {
      fleet.publish(10 + change);
    }
    fleet.advance(4 * SECOND);
    fleet.setCutOff("router-1", false);
    fleet.advance(4 * SECOND);
    assertVersionEverywhere(fleet, 10 + written);
    assertThat(valueOf(fleet, "router-1", RegistryStream.OPERATOR, "other")).hasValue("1");
  }

  // Guards against a process that the store rejects not taking records of the new era from peers.
  @Test
  void aProcessThatCannotReadTheStoreLearnsOfChangesFromItsPeers() {
    RestoredStoreFleet fleet = publishedFleet(10);
    fleet.setRejected("router-2", true);
    fleet.advance(SECOND);
    fleet.restoreWithout(RegistryStream.OPERATOR, 6);
    fleet.publish(11);
    fleet.advance(2 * SECOND);
    assertVersionEverywhere(fleet, 11);
    fleet.publish(12);
    fleet.advance(2 * SECOND);
    assertVersionEverywhere(fleet, 12);
  }

  // Guards against a process that starts after a restore serving by the older copy while its peers
  // know what was confirmed since.
  @Test
  void aProcessThatStartsAfterARestoreLearnsFromItsPeersWhatTheCopyLacks() {
    RestoredStoreFleet fleet = publishedFleet(10);
    fleet.restoreWithout(RegistryStream.OPERATOR, 4);
    fleet.advance(SECOND);
    assertVersionEverywhere(fleet, 10);
    fleet.start("router-9");
    fleet.advance(2 * SECOND);
    assertVersionEverywhere(fleet, 10);
    fleet.publish(11);
    fleet.advance(2 * SECOND);
    assertVersionEverywhere(fleet, 11);
  }

  // Guards against a copy that brings back the entry of a server that has left since.
  @Test
  void aCopyDoesNotBringBackARemovedServer() {
    RestoredStoreFleet fleet = new RestoredStoreFleet();
    fleet.startAll(PROCESSES);
    fleet.write(RegistryStream.SERVERS, "gone", Optional.of("5"));
    fleet.write(RegistryStream.SERVERS, "alive", Optional.of("5"));
    fleet.advance(2 * SECOND);
    fleet.write(RegistryStream.SERVERS, "gone", Optional.empty());
    fleet.write(RegistryStream.SERVERS, "alive", Optional.empty());
    fleet.advance(2 * SECOND);

    fleet.restoreWithout(RegistryStream.SERVERS, 2);
    fleet.advance(2 * SECOND);
    assertThat(valueOf(fleet, "router-0", RegistryStream.SERVERS, "gone")).isEmpty();
    assertThat(valueOf(fleet, "router-0", RegistryStream.SERVERS, "alive")).isEmpty();

    fleet.write(RegistryStream.SERVERS, "alive", Optional.of("6"));
    fleet.advance(2 * SECOND);
    assertThat(valueOf(fleet, "router-0", RegistryStream.SERVERS, "gone")).isEmpty();
    assertThat(valueOf(fleet, "router-0", RegistryStream.SERVERS, "alive")).hasValue("6");
  }

  // Guards against an entry of the copy, written before its server was leaving, replacing a newer
  // one.
  @Test
  void aCopyDoesNotReplaceANewerEntryOfAServer() {
    RestoredStoreFleet fleet = new RestoredStoreFleet();
    fleet.startAll(PROCESSES);
    fleet.write(RegistryStream.SERVERS, "server", Optional.of("5"));
    fleet.write(RegistryStream.SERVERS, "server", Optional.of("7"));
    fleet.advance(2 * SECOND);
    fleet.restoreWithout(RegistryStream.SERVERS, 1);
    fleet.advance(2 * SECOND);
    assertThat(valueOf(fleet, "router-0", RegistryStream.SERVERS, "server")).hasValue("7");
    fleet.write(RegistryStream.SERVERS, "server", Optional.of("8"));
    fleet.advance(2 * SECOND);
    assertThat(valueOf(fleet, "router-0", RegistryStream.SERVERS, "server")).hasValue("8");
  }

  // Guards against a server that the copy lacks staying known, or not coming back.
  @Test
  void aServerThatTheCopyLacksIsRemovedUntilItIsWrittenAgain() {
    RestoredStoreFleet fleet = new RestoredStoreFleet();
    fleet.startAll(PROCESSES);
    fleet.write(RegistryStream.SERVERS, "server", Optional.of("5"));
    fleet.advance(2 * SECOND);
    fleet.restoreWithout(RegistryStream.SERVERS, 1);
    fleet.advance(2 * SECOND);
    assertThat(valueOf(fleet, "router-0", RegistryStream.SERVERS, "server")).isEmpty();
    fleet.write(RegistryStream.SERVERS, "server", Optional.of("5"));
    fleet.advance(2 * SECOND);
    assertThat(valueOf(fleet, "router-0", RegistryStream.SERVERS, "server")).hasValue("5");
  }

  // Guards against a quarantine that a restore loses, so that a process which starts does not know
  // it.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void whatAProcessHasWrittenIsWrittenAgainOnce(boolean isLost) {
    RestoredStoreFleet fleet = quarantinedFleet(Optional.of("600"));
    int written = fleet.log(RegistryStream.QUARANTINES).size();
    fleet.restoreWithout(RegistryStream.QUARANTINES, isLost ? 1 : 0);
    fleet.advance(6 * SECOND);

    List<KeyedRecord> log = fleet.log(RegistryStream.QUARANTINES);
    assertThat(log).hasSize(written);
    assertThat(log.get(written - 1).value()).hasValue("600");
  }

  // Guards against a copy that brings back a quarantine which was lifted.
  @Test
  void whatAProcessHasRemovedIsRemovedAgainAndNotBelieved() {
    RestoredStoreFleet fleet = quarantinedFleet(Optional.of("600"));
    fleet
        .nodes
        .get("router-1")
        .core()
        .put(RegistryStream.QUARANTINES, "key", Optional.empty(), fleet.now());
    fleet.advance(6 * SECOND);
    assertThat(valueOf(fleet, "router-3", RegistryStream.QUARANTINES, "key")).isEmpty();

    fleet.restoreWithout(RegistryStream.QUARANTINES, 1);
    fleet.advance(6 * SECOND);

    List<KeyedRecord> log = fleet.log(RegistryStream.QUARANTINES);
    assertThat(log.get(log.size() - 1).value()).isEmpty();
    fleet
        .nodes
        .keySet()
        .forEach(
            name -> assertThat(valueOf(fleet, name, RegistryStream.QUARANTINES, "key")).isEmpty());
  }

  // Guards against a process that writes an older value over one that another has written since.
  @Test
  void whatAnotherProcessHasReplacedIsNotWrittenAgain() {
    RestoredStoreFleet fleet = quarantinedFleet(Optional.of("600"));
    fleet
        .nodes
        .get("router-2")
        .core()
        .put(RegistryStream.QUARANTINES, "key", Optional.of("900"), fleet.now());
    fleet.advance(6 * SECOND);
    fleet.restoreWithout(RegistryStream.QUARANTINES, 2);
    fleet.advance(6 * SECOND);
    List<KeyedRecord> log = fleet.log(RegistryStream.QUARANTINES);
    assertThat(log.get(log.size() - 1).value()).hasValue("900");
    assertThat(log.stream().noneMatch(record -> record.value().equals(Optional.of("600"))))
        .isTrue();
  }

  private static RestoredStoreFleet quarantinedFleet(Optional<String> value) {
    RestoredStoreFleet fleet = publishedFleet(2);
    fleet.nodes.get("router-0").core().put(RegistryStream.QUARANTINES, "key", value, fleet.now());
    fleet.advance(6 * SECOND);
    return fleet;
  }

  // Guards against orders of restores, cuts and changes that leave a process behind.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void everyProcessEndsWithTheNewestChangeInRandomHistories(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    RestoredStoreFleet fleet = publishedFleet(10);
    long version = 10;
    for (int step = 0; step < 40; step++) {
      String process = "router-" + random.nextInt(PROCESSES);
      switch (random.nextInt(6)) {
        case 0 -> fleet.restoreWithout(random.nextInt(6));
        case 1 -> fleet.setCutOff(process, random.nextBoolean());
        case 2 -> fleet.setRejected(process, random.nextBoolean());
        case 3 -> fleet.start(process);
        default -> fleet.publish(++version);
      }
      fleet.advance(random.nextLong(2 * SECOND));
    }
    for (int process = 0; process < PROCESSES; process++) {
      fleet.setCutOff("router-" + process, false);
      fleet.setRejected("router-" + process, false);
    }
    fleet.publish(++version);
    fleet.advance(4 * SECOND);
    assertVersionEverywhere(fleet, version);
  }

  private static RestoredStoreFleet publishedFleet(long versions) {
    RestoredStoreFleet fleet = new RestoredStoreFleet();
    fleet.startAll(PROCESSES);
    for (long version = 1; version <= versions; version++) {
      fleet.publish(version);
      fleet.advance(SECOND / 2);
    }
    assertVersionEverywhere(fleet, versions);
    return fleet;
  }

  private static Optional<String> valueOf(
      RestoredStoreFleet fleet, String process, RegistryStream stream, String key) {
    return fleet
        .nodes
        .get(process)
        .values
        .getOrDefault(stream, Map.of())
        .getOrDefault(key, Optional.empty());
  }
}
