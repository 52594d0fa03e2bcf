package org.shallothook.transport.metrics;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Converts a metric registry to the Prometheus text format.
 *
 * <p>Names get the prefix {@code shallothook_}, and times are in seconds. The counters of all
 * refusal reasons become one metric with the label {@code reason}; so do those of all retry
 * reasons.
 *
 * <p>Stateless and thread-safe.
 */
public final class PrometheusText {
  /** Content type of the Prometheus text format. */
  public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private static final String PREFIX = "shallothook_";
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private PrometheusText() {}

  /** Returns the text of all metrics in a registry. */
  public static String of(MetricRegistry registry) {
    StringBuilder text = new StringBuilder();
    addReasons(text, registry, "refusals");
    addReasons(text, registry, "retries");
    registry
        .getCounters((name, metric) -> !isByReason(name))
        .forEach((name, counter) -> addCounter(text, metricName(name), counter.getCount()));
    registry
        .getGauges()
        .forEach((name, gauge) -> addGauge(text, metricName(name), gauge.getValue()));
    registry.getTimers().forEach((name, timer) -> addTimer(text, metricName(name), timer));
    return text.toString();
  }

  private static boolean isByReason(String name) {
    return name.startsWith("refusals.") || name.startsWith("retries.");
  }

  private static void addReasons(StringBuilder text, MetricRegistry registry, String kind) {
    String name = PREFIX + kind + "_total";
    text.append("# TYPE ").append(name).append(" counter\n");
    registry
        .getCounters((found, metric) -> found.startsWith(kind + "."))
        .forEach(
            (found, counter) ->
                text.append(name)
                    .append("{reason=\"")
                    .append(found.substring(kind.length() + 1))
                    .append("\"} ")
                    .append(counter.getCount())
                    .append('\n'));
  }

  private static void addCounter(StringBuilder text, String name, long value) {
    text.append("# TYPE ").append(name).append("_total counter\n");
    text.append(name).append("_total ").append(value).append('\n');
  }

  private static void addGauge(StringBuilder text, String name, Object value) {
    if (value instanceof Number) {
      text.append("# TYPE ").append(name).append(" gauge\n");
      text.append(name).append(' ').append(value).append('\n');
    }
  }

  private static void addTimer(StringBuilder text, String name, Timer timer) {
    Snapshot snapshot = timer.getSnapshot();
    String full = name + "_seconds";
    text.append("# TYPE ").append(full).append(" summary\n");
    addQuantile(text, full, "0.5", snapshot.getMedian());
    addQuantile(text, full, "0.95", snapshot.get95thPercentile());
    addQuantile(text, full, "0.99", snapshot.get99thPercentile());
    text.append(full).append("_count ").append(timer.getCount()).append('\n');
  }

  private static void addQuantile(StringBuilder text, String name, String quantile, double nanos) {
    text.append(name)
        .append("{quantile=\"")
        .append(quantile)
        .append("\"} ")
        .append(nanos / NANOS_PER_SECOND)
        .append('\n');
  }

  private static String metricName(String name) {
    return PREFIX + name.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9_]", "_");
  }
}
