package org.shallothook.coordination.origin;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SoftwareVersionsTest {
  private static final long SECOND = 1_000_000;
  private static final long RESUMABLE = 30 * SECOND;
  private static final long WITHDRAWN_AFTER = RESUMABLE + SoftwareVersions.WITHDRAWAL_MARGIN_MICROS;

  private final SoftwareVersions versions = new SoftwareVersions();

  @ParameterizedTest
  @CsvSource({"v1, 1, v1.1, 2, v1", "v1, 2, v1.1, 1, v1.1", "v2, 3, v10, 4, v2"})
  void theBaseVersionIsTheOneDeclaredFirst(
      String one, long oneAt, String other, long otherAt, String base) {
    declare(one, oneAt, 0);
    declare(other, otherAt, 0);
    assertThat(versions.base("engines")).hasValue(base);
  }

  @Test
  void listedVersionsAreDeclaredAfterAllThatAreKnown() {
    declare("v1", 4, 0);
    list(0, "v1", "v1.1", "v1.2");
    assertThat(versions.changesDue(RESUMABLE, SECOND).values())
        .containsExactly(Optional.of(5L), Optional.of(6L));
  }

  @Test
  void eachServiceHasItsOwnOrder() {
    versions.onListed(Set.of(version("v1"), new SoftwareVersion("readers", "v7")), 0);
    assertThat(versions.changesDue(RESUMABLE, SECOND))
        .containsExactly(
            version("v1"), Optional.of(1L), new SoftwareVersion("readers", "v7"), Optional.of(1L));
  }

  @Test
  void aVersionIsWithdrawnWhenNoStreamOfItsServersCanBeResumed() {
    declare("v1", 1, 0);
    declare("v1.1", 2, 0);
    list(0, "v1", "v1.1");
    list(SECOND, "v1.1");
    assertThat(versions.changesDue(RESUMABLE, SECOND + WITHDRAWN_AFTER - 1)).isEmpty();
    assertThat(versions.changesDue(RESUMABLE, SECOND + WITHDRAWN_AFTER))
        .containsExactly(version("v1"), Optional.empty());
  }

  @Test
  void aVersionThatNobodyListedSinceTheStartIsWithdrawnAsWell() {
    declare("v1", 1, 5 * SECOND);
    assertThat(versions.changesDue(RESUMABLE, 5 * SECOND + WITHDRAWN_AFTER))
        .containsExactly(version("v1"), Optional.empty());
  }

  @Test
  void aVersionThatComesBackAfterItsWithdrawalIsTheNewest() {
    declare("v1", 1, 0);
    declare("v1.1", 2, 0);
    versions.onDeclared(version("v1"), Optional.empty(), SECOND);
    list(2 * SECOND, "v1", "v1.1");
    assertThat(versions.changesDue(RESUMABLE, 2 * SECOND))
        .containsExactly(version("v1"), Optional.of(3L));
    assertThat(versions.base("engines")).hasValue("v1.1");
  }

  /** Guards against withdrawing a version because an outage removed the entries of its servers. */
  @Test
  void theTimeOfAnOutageDoesNotCountAsTimeWithoutServers() {
    declare("v1", 1, 0);
    list(0, "v1");
    list(SECOND);
    versions.onUncertain(20 * SECOND);
    assertThat(versions.changesDue(RESUMABLE, SECOND + WITHDRAWN_AFTER)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"9, false", "10, true", "11, true"})
  void theBaseVersionIsCertainOnceAllIsReadFromBeforeItsServersWereListed(
      long readUntilSecond, boolean isCertain) {
    declare("v1", 1, 0);
    list(10 * SECOND, "v1");
    assertThat(versions.isCertainBase(version("v1"), readUntilSecond * SECOND))
        .isEqualTo(isCertain);
  }

  @Test
  void anotherVersionIsNeverTheCertainBase() {
    declare("v1", 1, 0);
    declare("v1.1", 2, 0);
    list(0, "v1", "v1.1");
    assertThat(versions.isCertainBase(version("v1.1"), SECOND)).isFalse();
  }

  @Test
  void aVersionIsTheOnlyOneWhileNoOtherIsDeclaredOrListed() {
    declare("v1", 1, 0);
    list(0, "v1");
    assertThat(versions.only("engines")).hasValue("v1");
    list(SECOND, "v1", "v1.1");
    assertThat(versions.only("engines")).isEmpty();
    declare("v1.1", 2, SECOND);
    list(2 * SECOND, "v1");
    assertThat(versions.only("engines")).isEmpty();
  }

  /** Guards against a new base version after a restore, which streams of before do not have. */
  @Test
  void declarationsThatARestoredStoreLacksKeepTheirPositions() {
    declare("v1", 1, 0);
    declare("v1.1", 2, 0);
    list(0, "v1.1");
    versions.onRestored(RESUMABLE);
    versions.onDeclared(version("v1"), Optional.empty(), SECOND);
    versions.onDeclared(version("v1.1"), Optional.empty(), SECOND);
    assertThat(versions.changesDue(RESUMABLE, SECOND))
        .containsExactly(version("v1"), Optional.of(1L), version("v1.1"), Optional.of(2L));
  }

  @ParameterizedTest
  @ValueSource(strings = {"no-separator", ""})
  void aKeyWithoutAServiceNamesNoVersion(String key) {
    assertThat(SoftwareVersion.ofKey(key)).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"v1.2", "", "a/b", "ü"})
  void theKeyNamesServiceAndVersion(String text) {
    assertThat(SoftwareVersion.ofKey(version(text).key())).hasValue(version(text));
  }

  @Test
  void aVersionThatIsTooLongForAKeyIsNotDeclared() {
    list(0, "v".repeat(300));
    assertThat(versions.changesDue(RESUMABLE, SECOND)).isEqualTo(Map.of());
  }

  private void declare(String text, long position, long nowMicros) {
    versions.onDeclared(version(text), Optional.of(position), nowMicros);
  }

  private void list(long nowMicros, String... texts) {
    versions.onListed(
        Arrays.stream(texts).map(SoftwareVersionsTest::version).collect(Collectors.toSet()),
        nowMicros);
  }

  private static SoftwareVersion version(String text) {
    return new SoftwareVersion("engines", text);
  }
}
