package org.shallothook.coordination.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.quarantine.CrashEvidence.Quarantine;

/** Covers what crashes and survived answers say about the keys of requests. */
final class CrashEvidenceTest {
  private static final long SECOND = 1_000_000;
  private static final long QUARANTINE_MICROS = 600 * SECOND;
  private static final long PART = 7;
  private static final long OTHER_PART = 9;

  private final CrashEvidence evidence = new CrashEvidence(QUARANTINE_MICROS);
  private long nowMicros = SECOND;
  private long nextContent = 1_000;

  private RequestSignature request(Long... parts) {
    return new RequestSignature(nextContent++, List.of(parts));
  }

  private List<Long> crash(String name, RequestSignature signature) {
    nowMicros += SECOND;
    evidence.onCrash(name, signature, nowMicros);
    return decide();
  }

  /** Returns the keys that are quarantined now and were not before. */
  private List<Long> decide() {
    return evidence.decide(nowMicros).stream()
        .flatMap(assessment -> assessment.quarantine().stream())
        .map(Quarantine::key)
        .toList();
  }

  @Test
  void threeCrashesQuarantineAPart() {
    assertThat(crash("1", request(PART))).isEmpty();
    assertThat(crash("2", request(PART))).isEmpty();
    assertThat(crash("3", request(PART))).containsExactly(PART);
    assertThat(evidence.check(request(PART), nowMicros)).isPresent();
    assertThat(evidence.check(request(OTHER_PART), nowMicros)).isEmpty();
  }

  @Test
  void crashesAtTheSameMomentCountAsOne() {
    for (int server = 0; server < 8; server++) {
      evidence.onCrash("server-" + server, request(PART), nowMicros);
    }
    assertThat(decide()).isEmpty();
  }

  /**
   * Crashes at the same moment count separately against a content, unless it is in use or may be,
   * as for a process that has just started.
   */
  @ParameterizedTest
  @CsvSource({
    "2, 60, false, false",
    "3, 60, false, true",
    "8, 60, true, false",
    "8, 1, false, false",
    "8, 5, false, true",
  })
  void crashesAtTheSameMomentCountAgainstAContentThatIsNotInUse(
      int servers, long observedSeconds, boolean isInUse, boolean isQuarantined) {
    RequestSignature call = request();
    assertThat(decide()).isEmpty();
    nowMicros += observedSeconds * SECOND;
    if (isInUse) {
      evidence.onSurvived(call, nowMicros);
    }
    for (int server = 0; server < servers; server++) {
      evidence.onCrash("server-" + server, call, nowMicros);
    }
    assertThat(decide()).isEqualTo(isQuarantined ? List.of(call.content()) : List.of());
  }

  @Test
  void aSecondMomentQuarantinesAContentThatWasInUse() {
    RequestSignature call = request();
    evidence.onSurvived(call, nowMicros);
    for (int server = 0; server < 3; server++) {
      evidence.onCrash("server-" + server, call, nowMicros);
    }
    assertThat(decide()).isEmpty();
    assertThat(crash("later", call)).containsExactly(call.content());
  }

  @Test
  void twoCrashesOfAMomentCountAgainstAPartThatIsNotInUse() {
    assertThat(decide()).isEmpty();
    nowMicros += 60 * SECOND;
    for (int server = 0; server < 8; server++) {
      evidence.onCrash("server-" + server, request(PART), nowMicros);
    }
    assertThat(decide()).isEmpty();
    assertThat(crash("later", request(PART))).containsExactly(PART);
  }

  // Guards against a line in the log for every key whenever any other key is cleared.
  @Test
  void aKeyIsAssessedAgainOnlyAfterAnotherCrash() {
    evidence.onCrash("1", request(PART), nowMicros);
    evidence.onCrash("1", request(OTHER_PART), nowMicros);
    assertThat(evidence.decide(nowMicros)).hasSize(4);
    evidence.onSurvived(request(OTHER_PART), nowMicros);
    assertThat(evidence.decide(nowMicros)).isEmpty();
    evidence.onCrash("2", request(PART), nowMicros);
    assertThat(evidence.decide(nowMicros)).hasSize(2);
  }

  @Test
  void anAnswerBetweenTwoMomentsClearsAContent() {
    RequestSignature call = request();
    for (int moment = 0; moment < 6; moment++) {
      evidence.onSurvived(call, nowMicros);
      evidence.onCrash("first-" + moment, call, nowMicros);
      assertThat(crash("second-" + moment, call)).isEmpty();
    }
  }

  @Test
  void aSurvivedAnswerClearsItsParts() {
    crash("1", request(PART));
    crash("2", request(PART));
    assertThat(evidence.onSurvived(request(PART), nowMicros).suspected()).containsExactly(PART);
    assertThat(crash("3", request(PART))).isEmpty();
  }

  @Test
  void aPartThatHasWorkedRecentlyNeedsFiveCrashes() {
    evidence.onSurvived(request(PART), nowMicros);
    for (int crash = 1; crash <= 4; crash++) {
      assertThat(crash("crash-" + crash, request(PART))).isEmpty();
    }
    assertThat(crash("crash-5", request(PART))).containsExactly(PART);
  }

  @Test
  void aPartWhoseCrashesAnotherPartExplainsIsNotQuarantined() {
    crash("1", request(PART));
    crash("2", request(PART, OTHER_PART));
    assertThat(crash("3", request(PART, OTHER_PART))).containsExactly(PART);
    assertThat(crash("4", request(PART, OTHER_PART))).doesNotContain(OTHER_PART);
  }

  @Test
  void equalCandidatesAreToldApartBySingleRequests() {
    crash("1", request(PART, OTHER_PART));
    crash("2", request(PART, OTHER_PART));
    assertThat(crash("3", request(PART, OTHER_PART))).containsExactly(PART, OTHER_PART);
    assertThat(evidence.check(request(PART, OTHER_PART), nowMicros)).isPresent();
    assertThat(evidence.check(request(OTHER_PART), nowMicros)).isEmpty();
    assertThat(evidence.check(request(OTHER_PART), nowMicros)).isPresent();
    assertThat(evidence.onSurvived(request(OTHER_PART), nowMicros).quarantined())
        .containsExactly(OTHER_PART);
    assertThat(evidence.check(request(OTHER_PART), nowMicros)).isEmpty();
    assertThat(evidence.check(request(PART, OTHER_PART), nowMicros)).isPresent();
  }

  @Test
  void afterItsQuarantineOneCrashQuarantinesAPartAgain() {
    crash("1", request(PART));
    crash("2", request(PART));
    crash("3", request(PART));
    nowMicros += QUARANTINE_MICROS;
    assertThat(evidence.removeExpired(nowMicros)).containsExactly(PART);
    assertThat(evidence.check(request(PART), nowMicros)).isEmpty();
    assertThat(crash("4", request(PART))).containsExactly(PART);
  }

  @Test
  void aQuarantineOfAnotherProcessIsNotAdoptedForAPartThatWorks() {
    evidence.onSurvived(request(PART), nowMicros);
    assertThat(evidence.onQuarantined(PART, nowMicros + SECOND, nowMicros)).isFalse();
    assertThat(evidence.onQuarantined(OTHER_PART, nowMicros + SECOND, nowMicros)).isTrue();
    assertThat(evidence.onQuarantined(OTHER_PART, nowMicros + SECOND, nowMicros)).isFalse();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void aRequestIsNotRepeatedAfterASecondCrash(int crashes) {
    for (int crash = 1; crash <= crashes; crash++) {
      crash("crash-" + crash, request(PART));
    }
    assertThat(evidence.isSuspected(request(PART), nowMicros)).isEqualTo(crashes >= 2);
  }

  // Guards against evidence that grows with traffic whose parts never come twice.
  @Test
  void theNumberOfKeysIsBounded() {
    long more = 3L * CrashEvidence.MAXIMUM_CLEARED;
    for (long part = 0; part < more; part++) {
      evidence.onCrash("crash-" + part, request(part), nowMicros);
      evidence.onSurvived(request(more + part), nowMicros);
    }
    assertThat(evidence.suspicionCount()).isAtMost(CrashEvidence.MAXIMUM_SUSPICIONS);
    assertThat(evidence.clearedCount()).isAtMost(CrashEvidence.MAXIMUM_CLEARED);
    assertThat(evidence.survivedContentCount()).isAtMost(CrashEvidence.MAXIMUM_CLEARED);
  }
}
