package org.shallothook.soak;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Short runs of the real processes, with each seed that has ever violated a guarantee. */
final class SoakTest {
  private static final int SECONDS = 15;

  @ParameterizedTest(name = "seed {0}: {2}")
  @CsvSource({
    "1, ALL, disturbances of all kinds",
    "3, ALL, a SIGHUP during startup ended the process",
    "1, PLANNED, routers that were stopped as planned ended requests without a response",
  })
  void everyGuaranteeHolds(long seed, DisturbanceSet set, String unusedReason) throws Exception {
    Path folder = Path.of("target", "soak", set + "-seed-" + seed);
    SoakRun.Report report =
        new SoakRun(new SoakOptions(seed, SECONDS, set, 3, 3, 2, 12, folder)).run();

    assertThat(report.violations()).isEmpty();
    assertThat(report.outcomes()).containsKey(CallerOutcome.SERVED);
  }
}
