package org.shallothook.transport.metrics;

import com.codahale.metrics.ExponentiallyDecayingReservoir;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.LatencyStep;
import org.shallothook.coordination.retry.RetryReason;
import org.shallothook.state.request.RefusalReason;

/**
 * All metrics of a process.
 *
 * <p>The counters of all refusal and retry reasons exist from the start with the value 0.
 *
 * <p>Thread-safe.
 */
public final class TransportMetrics implements Counters {
  private static final String TIME_TO_FIRST_TOKEN = "caller.time-to-first-token";
  private static final int RESERVOIR_SAMPLES = 256;
  private static final double RESERVOIR_DECAY = 0.015;

  private final MetricRegistry registry = new MetricRegistry();
  private final Timer timeToFirstToken;
  private final Map<LatencyStep, Timer> steps = new EnumMap<>(LatencyStep.class);

  /** Creates the metrics of one process. */
  public TransportMetrics() {
    for (RefusalReason reason : RefusalReason.values()) {
      registry.counter("refusals." + reason.code());
    }
    for (RetryReason reason : RetryReason.values()) {
      registry.counter(reason.counter());
    }
    for (LatencyStep step : LatencyStep.values()) {
      steps.put(step, registry.timer(step.code(), () -> new Timer(new HdrReservoir())));
    }
    timeToFirstToken = registry.timer(TIME_TO_FIRST_TOKEN, TransportMetrics::newTimer);
  }

  @Override
  public void increment(String name) {
    registry.counter(name).inc();
  }

  @Override
  public void recordLatency(LatencyStep step, long micros) {
    steps.get(step).update(Math.max(0, micros), TimeUnit.MICROSECONDS);
  }

  /** Returns the value of a counter, or 0 if it was never incremented. */
  public long count(String name) {
    return registry.counter(name).getCount();
  }

  /** Records the time from the complete request to the first written token, in microseconds. */
  public void recordTimeToFirstToken(long micros) {
    timeToFirstToken.update(Math.max(0, micros), TimeUnit.MICROSECONDS);
  }

  /** Adds a gauge whose value is read on each export. */
  public void gauge(String name, LongSupplier value) {
    Gauge<Long> gauge = value::getAsLong;
    registry.register(name, gauge);
  }

  /** Returns the underlying registry, for export on the admin port. */
  public MetricRegistry registry() {
    return registry;
  }

  private static Timer newTimer() {
    return new Timer(new ExponentiallyDecayingReservoir(RESERVOIR_SAMPLES, RESERVOIR_DECAY));
  }
}
