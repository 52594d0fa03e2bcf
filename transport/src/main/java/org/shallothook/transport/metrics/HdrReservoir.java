package org.shallothook.transport.metrics;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.stream.StreamSupport;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;
import org.HdrHistogram.Recorder;

/**
 * Reservoir that records all values since the process started in one HdrHistogram, so that sampling
 * does not lose the tail of the distribution.
 *
 * <p>Values are given in nanoseconds and stored in microseconds with two significant digits.
 * Thread-safe; recording never blocks.
 */
final class HdrReservoir implements Reservoir {
  private static final int SIGNIFICANT_DIGITS = 2;

  private final Recorder recorder = new Recorder(SIGNIFICANT_DIGITS);
  private final Histogram total = new Histogram(SIGNIFICANT_DIGITS);

  @Override
  public int size() {
    return (int) Math.min(Integer.MAX_VALUE, histogram().getTotalCount());
  }

  @Override
  public void update(long nanos) {
    recorder.recordValue(Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos)));
  }

  @Override
  public Snapshot getSnapshot() {
    return new HdrSnapshot(histogram());
  }

  private synchronized Histogram histogram() {
    total.add(recorder.getIntervalHistogram());
    return total.copy();
  }

  /** Snapshot of the values, in nanoseconds. Not thread-safe. */
  private static final class HdrSnapshot extends Snapshot {
    private static final double PERCENT = 100;
    private final Histogram histogram;

    private HdrSnapshot(Histogram histogram) {
      this.histogram = histogram;
    }

    @Override
    public double getValue(double quantile) {
      return nanos(histogram.getValueAtPercentile(PERCENT * quantile));
    }

    @Override
    public long[] getValues() {
      return StreamSupport.stream(histogram.recordedValues().spliterator(), false)
          .mapToLong(HistogramIterationValue::getValueIteratedTo)
          .map(HdrSnapshot::nanos)
          .toArray();
    }

    @Override
    public int size() {
      return (int) Math.min(Integer.MAX_VALUE, histogram.getTotalCount());
    }

    @Override
    public long getMax() {
      return nanos(histogram.getMaxValue());
    }

    @Override
    public double getMean() {
      return histogram.getMean() * TimeUnit.MICROSECONDS.toNanos(1);
    }

    @Override
    public long getMin() {
      return nanos(histogram.getMinValue());
    }

    @Override
    public double getStdDev() {
      return histogram.getStdDeviation() * TimeUnit.MICROSECONDS.toNanos(1);
    }

    @Override
    public void dump(OutputStream output) {
      PrintWriter writer = new PrintWriter(output, false, StandardCharsets.UTF_8);
      for (long value : getValues()) {
        writer.println(value);
      }
      writer.flush();
    }

    private static long nanos(long micros) {
      return TimeUnit.MICROSECONDS.toNanos(micros);
    }
  }
}
