package org.shallothook.benchmarks.measure;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.shallothook.benchmarks.workload.Deployment;

/** Every measure keeps to its bound under both deployments. */
final class MeasuresTest {
  private static final int THREADS = 4;

  private static List<Measure> measures = List.of();

  @BeforeAll
  static void measure() throws InterruptedException {
    measures = MeasureSuite.run(MeasureSuite.SEED, THREADS);
  }

  private static void assertHeld(String name, Deployment deployment) {
    Measure measure =
        measures.stream()
            .filter(one -> one.name().equals(name) && one.deployment() == deployment)
            .findFirst()
            .orElseThrow();
    assertWithMessage("%s", measure).that(measure.isHeld()).isTrue();
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void hitRateIsNearTheOmniscientOne(Deployment deployment) {
    assertHeld("hit-rate-share-of-omniscient", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void littleIsRecomputed(Deployment deployment) {
    assertHeld("wasted-recomputation", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void tokensFollowEachOtherInTime(Deployment deployment) {
    assertHeld("time-between-tokens-p95", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void firstTokensComeInTime(Deployment deployment) {
    assertHeld("time-to-first-token-p95", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void lateFirstTokensAreFewerThanWithEachBaseline(Deployment deployment) {
    assertHeld("time-to-first-token-p99", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void littleIsRecomputedTenSecondsAfterAShift(Deployment deployment) {
    assertHeld("wasted-recomputation-10s-after-shift", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void priorityTeamIsServedInTimeAfterIdling(Deployment deployment) {
    assertHeld("priority-time-to-first-token-p99", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void ordinaryTeamsProgressUnderPriorityWork(Deployment deployment) {
    assertHeld("least-ordinary-complete-share", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void goodputHoldsAtTwiceTheLoad(Deployment deployment) {
    assertHeld("goodput-at-2x", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void restartedRouterFindsThePrefixes(Deployment deployment) {
    assertHeld("restarted-router-hit-rate", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void restartedRouterServesInTime(Deployment deployment) {
    assertHeld("restarted-router-time-to-first-token-p95", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void everyEngineHasANewVersionInTime(Deployment deployment) {
    assertHeld("version-roll-time", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void atMostTwoEnginesLoadAtOnce(Deployment deployment) {
    assertHeld("version-roll-concurrent-loads", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void firstTokensComeInTimeDuringARoll(Deployment deployment) {
    assertHeld("version-roll-time-to-first-token-p95", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void firstTokensComeInTimeWhileCallersMoveToANewVersion(Deployment deployment) {
    assertHeld("version-move-time-to-first-token-p95", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void allCallersMoveToANewVersion(Deployment deployment) {
    assertHeld("version-move-unmoved", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void noModelIsUnservedDuringARoll(Deployment deployment) {
    assertHeld("version-roll-unserved", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void noStreamMixesVersionsDuringARoll(Deployment deployment) {
    assertHeld("version-roll-unsound-streams", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void routersKeepToTheControlBudget(Deployment deployment) {
    assertHeld("control-bytes-router", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void aChangeIsInForceEverywhereInTime(Deployment deployment) {
    assertHeld("configuration-in-force-none", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void sidecarsKeepToTheControlBudget(Deployment deployment) {
    assertHeld("control-bytes-sidecar", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void theBusiestRouterKeepsToTheControlBudget(Deployment deployment) {
    assertHeld("control-bytes-busiest-router", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void theBusiestSidecarKeepsToTheControlBudget(Deployment deployment) {
    assertHeld("control-bytes-busiest-sidecar", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void aChangeIsInForceInTimeWithADomainCutFromTheLog(Deployment deployment) {
    assertHeld("configuration-in-force-domain-cut", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void aChangeIsInForceInTimeWithTheLogDown(Deployment deployment) {
    assertHeld("configuration-in-force-log-down", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void noConfigurationIsReverted(Deployment deployment) {
    assertHeld("configuration-reversions", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void everyProcessHasTheConfigurationOfTheLog(Deployment deployment) {
    assertHeld("configuration-states-unlike-the-log", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void noBookingRunsTwice(Deployment deployment) {
    assertHeld("booking-double-runs", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void noNotRunIsFalse(Deployment deployment) {
    assertHeld("booking-false-not-run", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void repeatsGetTheFirstAnswer(Deployment deployment) {
    assertHeld("booking-violations", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void bookingsFitIntoTheLog(Deployment deployment) {
    assertHeld("booking-appends", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void claimsAreReadBackInTime(Deployment deployment) {
    assertHeld("booking-claim-p99", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void domainLossLosesNoRequestNotBegun(Deployment deployment) {
    assertHeld("domain-loss-requests-lost", deployment);
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void goodputReturnsAfterDomainLoss(Deployment deployment) {
    assertHeld("domain-loss-goodput", deployment);
  }
}
