package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.state.route.WeightVersion;

/** Load pattern: new weights reach the servers a few at a time. */
final class VersionEligibilityTest {
  private static final long SECOND = 1_000_000;
  private static final long DEADLINE = 6 * SECOND;
  private final VersionEligibility eligibility = new VersionEligibility(DEADLINE, SECOND);

  private static List<Server> servers(int current, int all) {
    return IntStream.range(0, all)
        .mapToObj(
            index ->
                new Server(
                    ForwardHarness.engine("engine-" + index, index + 1, index < current ? 2 : 1)))
        .toList();
  }

  private boolean setDesiredVersion(long version, long nowMicros) {
    return eligibility.onDesiredVersion(
        new WeightVersion(ForwardHarness.MODEL, version), Optional.of(nowMicros), nowMicros);
  }

  @ParameterizedTest(name = "{1} of {2} servers have it after {0} ms: {3} are eligible")
  @CsvSource({
    "0, 1, 6, 6",
    "1000, 5, 6, 6",
    "2000, 1, 6, 6",
    "2000, 3, 6, 6",
    "2000, 6, 6, 6",
    "6000, 1, 6, 1",
    "6000, 0, 6, 0",
  })
  void eligibleServers(long ageMillis, int current, int all, int expected) {
    setDesiredVersion(2, 0);
    List<Server> eligible =
        eligibility.eligible(servers(current, all), ForwardHarness.MODEL, ageMillis * 1_000);
    assertThat(eligible).hasSize(expected);
  }

  @ParameterizedTest(name = "after {0} ms an outdated server has a penalty of {1} ms")
  @CsvSource({"0, 0", "1000, 0", "1300, 200", "5900, 200"})
  void outdatedServersGetAPenalty(long ageMillis, long expectedMillis) {
    setDesiredVersion(2, 0);
    List<Server> servers = servers(1, 2);
    assertThat(
            eligibility.outdatedPenaltyMicros(
                servers.get(1), ForwardHarness.MODEL, 800_000, ageMillis * 1_000))
        .isEqualTo(expectedMillis * 1_000.0);
    assertThat(
            eligibility.outdatedPenaltyMicros(
                servers.get(0), ForwardHarness.MODEL, 800_000, ageMillis * 1_000))
        .isEqualTo(0.0);
  }

  @Test
  void aVersionKeepsItsDeadlineWhenANewerOneIsDesired() {
    setDesiredVersion(2, 0);
    setDesiredVersion(3, 3_000_000);
    assertThat(eligibility.eligible(servers(2, 6), ForwardHarness.MODEL, 5_900_000)).hasSize(6);
    assertThat(eligibility.eligible(servers(2, 6), ForwardHarness.MODEL, 6_000_000)).hasSize(2);
  }

  @Test
  void theDesiredVersionNeverDecreases() {
    assertThat(setDesiredVersion(3, 0)).isTrue();
    assertThat(setDesiredVersion(2, 1)).isFalse();
    assertThat(eligibility.desiredVersion(ForwardHarness.MODEL).get()).isEqualTo(3);
  }
}
