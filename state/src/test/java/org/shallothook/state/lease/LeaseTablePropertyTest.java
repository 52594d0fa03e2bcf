package org.shallothook.state.lease;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.shallothook.state.log.LogRecord;

/**
 * A record with any payload neither makes the table throw nor holds a slot longer than the longest
 * lease.
 */
final class LeaseTablePropertyTest {
  private static final long NOW = 1_000_000_000;

  @Property(seed = "96", tries = 3_000)
  void noPayloadThrowsOrHoldsASlotBeyondTheLongestLease(@ForAll("payloads") String payload) {
    LeaseTable table = new LeaseTable();
    table.fold(new LogRecord(0, NOW, payload));

    assertThat(table.nextOffset()).isEqualTo(1);
    assertThat(table.activeCountAt(NOW + LeaseTable.MAXIMUM_DURATION_MICROS + 1)).isEqualTo(0);
  }

  @Provide
  Arbitrary<String> payloads() {
    Arbitrary<String> words = Arbitraries.strings().ofMaxLength(12);
    Arbitrary<String> leases =
        Arbitraries.longs().map(deadline -> LeaseTable.leaseRecord("id", deadline));
    Arbitrary<String> near =
        Arbitraries.longs()
            .between(NOW - 10, NOW + 2 * LeaseTable.MAXIMUM_DURATION_MICROS)
            .map(deadline -> LeaseTable.leaseRecord("id", deadline));
    return Arbitraries.oneOf(
        words, leases, near, words.map(word -> "lease " + word), words.map(LeaseTable::endRecord));
  }
}
