package org.shallothook.transport.forward;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Covers the settings that depend on the grace period of a planned stop. */
final class ForwardSettingsTest {

  // Guards against requests that are accepted until a short grace period is over.
  @ParameterizedTest
  @CsvSource({"7300, 2600", "5200, 2600", "2300, 1150", "300, 150", "60000, 2600"})
  void newRequestsAreRefusedFromTheMiddleOfAShortGracePeriodOn(long graceMillis, long millis) {
    assertThat(
            ForwardSettings.DEFAULT.withinGracePeriod(Duration.ofMillis(graceMillis)).drainPeriod())
        .isEqualTo(Duration.ofMillis(millis));
  }
}
