package org.shallothook.transport.metrics;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.shallothook.coordination.port.LatencyStep;

/** Latencies of request steps, as exported in the Prometheus text format. */
final class LatencyMetricsTest {
  @ParameterizedTest
  @EnumSource(LatencyStep.class)
  void everyStepIsShownFromTheStart(LatencyStep step) {
    TransportMetrics metrics = new TransportMetrics();
    String name = "shallothook_" + step.code().replace('.', '_').replace('-', '_') + "_seconds";
    assertThat(PrometheusText.of(metrics.registry())).contains(name + "_count 0");
    metrics.recordLatency(step, 20_000);
    assertThat(PrometheusText.of(metrics.registry())).contains(name + "_count 1");
  }

  @Test
  void theTailIsNotSampledAway() {
    HdrReservoir reservoir = new HdrReservoir();
    for (int value = 0; value < 10_000; value++) {
      reservoir.update(TimeUnit.MILLISECONDS.toNanos(value == 77 ? 4_000 : 10));
    }
    assertThat(reservoir.size()).isEqualTo(10_000);
    double slowest = reservoir.getSnapshot().getMax();
    assertThat(slowest / TimeUnit.MILLISECONDS.toNanos(1)).isWithin(40).of(4_000);
    double median = reservoir.getSnapshot().getMedian();
    assertThat(median / TimeUnit.MILLISECONDS.toNanos(1)).isWithin(0.2).of(10);
    assertThat(reservoir.size()).isEqualTo(10_000);
  }
}
