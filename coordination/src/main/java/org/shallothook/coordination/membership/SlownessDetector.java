package org.shallothook.coordination.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Ejects upstreams that are much slower than their peers, each for a limited time.
 *
 * <p>A sample is the time that an upstream took beyond the estimate in its hint, so that samples of
 * prompts of all lengths are comparable.
 *
 * <p>Invariant: at most the given share of the upstreams that serve a model version is ejected at
 * once, and never the last one. Not thread-safe.
 */
public final class SlownessDetector {
  private static final double SMOOTHING_FACTOR = 0.25;
  private static final int MINIMUM_SAMPLES = 4;
  private static final int MINIMUM_PEERS = 3;
  private static final double OUTLIER_FACTOR = 3.0;
  private static final long OUTLIER_MARGIN_MICROS = 500_000;

  private final double maximumShare;
  private final long ejectionMicros;
  private final Map<String, Average> averages = new HashMap<>();

  /**
   * Creates a detector without samples.
   *
   * @param maximumShare maximum share of the upstreams of a model version that may be ejected at
   *     once
   * @param ejectionMicros duration of an ejection, in microseconds
   */
  public SlownessDetector(double maximumShare, long ejectionMicros) {
    this.maximumShare = maximumShare;
    this.ejectionMicros = ejectionMicros;
  }

  /**
   * Records a sample and ejects the upstream if it is an outlier among its peers.
   *
   * @param upstream upstream that was measured
   * @param peers upstreams that serve the same model version, itself included
   * @param excessMicros time beyond the estimate in the hint, in microseconds
   * @param nowMicros time of the sample
   * @return whether this sample caused the upstream to be ejected
   */
  public boolean onSample(
      Upstream upstream, List<Upstream> peers, long excessMicros, long nowMicros) {
    Average average = averages.computeIfAbsent(upstream.name(), name -> new Average());
    average.add(Math.max(0, excessMicros));
    if (upstream.isEjected(nowMicros) || !isOutlier(upstream, average, peers)) {
      return false;
    }
    long ejected = peers.stream().filter(peer -> peer.isEjected(nowMicros)).count();
    if (ejected + 1 > maximumShare * peers.size()) {
      return false;
    }
    upstream.eject(nowMicros + ejectionMicros);
    averages.remove(upstream.name());
    return true;
  }

  private boolean isOutlier(Upstream upstream, Average average, List<Upstream> peers) {
    if (average.samples < MINIMUM_SAMPLES) {
      return false;
    }
    List<Double> others = new ArrayList<>();
    for (Upstream peer : peers) {
      Average other = averages.get(peer.name());
      if (other != null && other.samples >= MINIMUM_SAMPLES && peer != upstream) {
        others.add(other.value);
      }
    }
    if (others.size() + 1 < MINIMUM_PEERS) {
      return false;
    }
    Collections.sort(others);
    double median = others.get(others.size() / 2);
    return average.value > OUTLIER_FACTOR * median + OUTLIER_MARGIN_MICROS;
  }

  /** Exponentially weighted moving average. */
  private static final class Average {
    private double value;
    private int samples;

    private void add(long sample) {
      value = samples == 0 ? sample : value + SMOOTHING_FACTOR * (sample - value);
      samples++;
    }
  }
}
