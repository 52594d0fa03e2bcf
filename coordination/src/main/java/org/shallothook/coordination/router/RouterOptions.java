package org.shallothook.coordination.router;

import java.util.Objects;
import org.shallothook.coordination.configuration.ConfigurationOptions;
import org.shallothook.coordination.placement.PlacementPolicy;
import org.shallothook.coordination.placement.PlacementStrategy;
import org.shallothook.coordination.port.Counters;

/**
 * Options of a router's decision core.
 *
 * <pre>{@code
 * RouterOptions options = RouterOptions.builder().name("router-1").failureDomain("a").build();
 * }</pre>
 *
 * <p>Invariant: every component is set and in range. Immutable and thread-safe.
 *
 * @param name name of this router in the instance list
 * @param incarnation incarnation of the process; grows with each restart
 * @param failureDomain failure domain of the router
 * @param region region of the failure domain
 * @param blockBytes size of a cached block, in bytes
 * @param offerWaitMicros timeout for the reply to an offer, in microseconds
 * @param firstTokenWaitMicros timeout for the first token, used as deadline if the caller sets
 *     none, in microseconds
 * @param callWaitMicros timeout for the response of a service to a call, in microseconds
 * @param silenceWaitMicros time after which an attempt is abandoned if its next frame is late by
 *     this much and its upstream has sent no message for as long, in microseconds
 * @param stallWaitMicros time without a frame after which a stream counts as stalled if the caller
 *     has consumed all of it, in microseconds
 * @param maximumAttempts maximum number of times that a prompt is sent to an upstream
 * @param retryShare retries allowed per recent success
 * @param retryMinimum retries allowed in a time window without any success
 * @param ejectionShare maximum share of a model's servers that may be ejected for slowness at the
 *     same time
 * @param ejectionMicros duration of an ejection, in microseconds
 * @param quarantineMicros duration of a quarantine, in microseconds
 * @param logRetentionMicros time for which the log is guaranteed to keep a record, in microseconds
 * @param recomputeMicrosPerBlock time that an engine takes to compute a block that it has not
 *     cached, in microseconds
 * @param probeThresholdMicros avoidable time to the first token above which another upstream is
 *     probed, in microseconds
 * @param maximumOpenRequests maximum number of open requests
 * @param explanations number of finished requests whose explanations are kept
 * @param placement policy that ranks upstreams for a request
 * @param seed seed of every random choice
 * @param counters receiver of the counters
 */
public record RouterOptions(
    String name,
    long incarnation,
    String failureDomain,
    String region,
    int blockBytes,
    long offerWaitMicros,
    long firstTokenWaitMicros,
    long callWaitMicros,
    long silenceWaitMicros,
    long stallWaitMicros,
    int maximumAttempts,
    double retryShare,
    int retryMinimum,
    double ejectionShare,
    long ejectionMicros,
    long quarantineMicros,
    long logRetentionMicros,
    long recomputeMicrosPerBlock,
    long probeThresholdMicros,
    int maximumOpenRequests,
    int explanations,
    PlacementPolicy placement,
    long seed,
    Counters counters) {
  public RouterOptions {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(failureDomain, "failureDomain");
    Objects.requireNonNull(region, "region");
    Objects.requireNonNull(placement, "placement");
    Objects.requireNonNull(counters, "counters");
    requirePositive(blockBytes, "blockBytes");
    requirePositive(offerWaitMicros, "offerWaitMicros");
    requirePositive(firstTokenWaitMicros, "firstTokenWaitMicros");
    requirePositive(callWaitMicros, "callWaitMicros");
    requirePositive(silenceWaitMicros, "silenceWaitMicros");
    requirePositive(stallWaitMicros, "stallWaitMicros");
    requirePositive(logRetentionMicros, "logRetentionMicros");
    requirePositive(maximumAttempts, "maximumAttempts");
    requirePositive(maximumOpenRequests, "maximumOpenRequests");
    requirePositive(explanations, "explanations");
  }

  private static void requirePositive(long value, String option) {
    if (value <= 0) {
      throw new IllegalArgumentException(option + " must be positive, found " + value + ".");
    }
  }

  /** Returns a builder with default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder of options. Not thread-safe. */
  public static final class Builder {
    private String name = "router";
    private long incarnation = 1;
    private String failureDomain = "";
    private String region = "";
    private int blockBytes = 4_000;
    private long offerWaitMicros = 60_000;
    private long firstTokenWaitMicros = 10_000_000;
    private long callWaitMicros = 10_000_000;
    private long silenceWaitMicros = 2_000_000;
    private long stallWaitMicros = 10_000_000;
    private int maximumAttempts = 4;
    private double retryShare = 0.2;
    private int retryMinimum = 10;
    private double ejectionShare = 0.34;
    private long ejectionMicros = 10_000_000;
    private long quarantineMicros = 600_000_000;
    private long logRetentionMicros = ConfigurationOptions.DEFAULT_RETENTION_MICROS;
    private long recomputeMicrosPerBlock = 20_000;
    private long probeThresholdMicros = 100_000;
    private int maximumOpenRequests = 4_096;
    private int explanations = 512;
    private PlacementPolicy placement = PlacementStrategy.PREFIX_AFFINITY;
    private long seed = 1;
    private Counters counters = Counters.NONE;

    private Builder() {}

    /** Sets the name of this router in the instance list. Default: {@code router}. */
    public Builder name(String value) {
      name = value;
      return this;
    }

    /** Sets the incarnation of the process; grows with each restart. Default: 1. */
    public Builder incarnation(long value) {
      incarnation = value;
      return this;
    }

    /** Sets the failure domain of the router. Default: the empty string. */
    public Builder failureDomain(String value) {
      failureDomain = value;
      return this;
    }

    /** Sets the region of the failure domain. Default: the empty string. */
    public Builder region(String value) {
      region = value;
      return this;
    }

    /** Sets the size of a cached block, in bytes. Default: 4_000. */
    public Builder blockBytes(int value) {
      blockBytes = value;
      return this;
    }

    /** Sets the timeout for the reply to an offer, in microseconds. Default: 60_000. */
    public Builder offerWaitMicros(long value) {
      offerWaitMicros = value;
      return this;
    }

    /**
     * Sets the timeout for the first token, used as deadline if the caller sets none, in
     * microseconds. Default: 10_000_000.
     */
    public Builder firstTokenWaitMicros(long value) {
      firstTokenWaitMicros = value;
      return this;
    }

    /**
     * Sets the timeout for the response of a service to a call, in microseconds. Default:
     * 10_000_000.
     */
    public Builder callWaitMicros(long value) {
      callWaitMicros = value;
      return this;
    }

    /**
     * Sets the time after which an attempt is abandoned if its next frame is late by this much and
     * its upstream has sent no message for as long, in microseconds. Default: 2_000_000.
     */
    public Builder silenceWaitMicros(long value) {
      silenceWaitMicros = value;
      return this;
    }

    /**
     * Sets the time without a frame after which a stream counts as stalled if the caller has
     * consumed all of it, in microseconds. Default: 10_000_000.
     */
    public Builder stallWaitMicros(long value) {
      stallWaitMicros = value;
      return this;
    }

    /** Sets the maximum number of times that a prompt is sent to an upstream. Default: 4. */
    public Builder maximumAttempts(int value) {
      maximumAttempts = value;
      return this;
    }

    /** Sets the retries allowed per recent success. Default: 0.2. */
    public Builder retryShare(double value) {
      retryShare = value;
      return this;
    }

    /** Sets the retries allowed in a time window without any success. Default: 10. */
    public Builder retryMinimum(int value) {
      retryMinimum = value;
      return this;
    }

    /**
     * Sets the maximum share of a model's servers that may be ejected for slowness at the same
     * time. Default: 0.34.
     */
    public Builder ejectionShare(double value) {
      ejectionShare = value;
      return this;
    }

    /** Sets the duration of an ejection, in microseconds. Default: 10_000_000. */
    public Builder ejectionMicros(long value) {
      ejectionMicros = value;
      return this;
    }

    /** Sets the duration of a quarantine, in microseconds. Default: 600_000_000. */
    public Builder quarantineMicros(long value) {
      quarantineMicros = value;
      return this;
    }

    /**
     * Sets the time for which the log is guaranteed to keep a record, in microseconds. Default: an
     * hour.
     */
    public Builder logRetentionMicros(long value) {
      logRetentionMicros = value;
      return this;
    }

    /**
     * Sets the time that an engine takes to compute a block that it has not cached, in
     * microseconds. Default: 20_000.
     */
    public Builder recomputeMicrosPerBlock(long value) {
      recomputeMicrosPerBlock = value;
      return this;
    }

    /**
     * Sets the avoidable time to the first token above which another upstream is probed, in
     * microseconds. Default: 100_000.
     */
    public Builder probeThresholdMicros(long value) {
      probeThresholdMicros = value;
      return this;
    }

    /** Sets the maximum number of open requests. Default: 4_096. */
    public Builder maximumOpenRequests(int value) {
      maximumOpenRequests = value;
      return this;
    }

    /** Sets the number of finished requests whose explanations are kept. Default: 512. */
    public Builder explanations(int value) {
      explanations = value;
      return this;
    }

    /** Sets the policy that ranks upstreams for a request. Default: PREFIX_AFFINITY. */
    public Builder placement(PlacementPolicy value) {
      placement = value;
      return this;
    }

    /** Sets the seed of every random choice. Default: 1. */
    public Builder seed(long value) {
      seed = value;
      return this;
    }

    /** Sets the receiver of the counters. Default: no counters. */
    public Builder counters(Counters value) {
      counters = value;
      return this;
    }

    /** Returns the options. */
    public RouterOptions build() {
      return new RouterOptions(
          name,
          incarnation,
          failureDomain,
          region,
          blockBytes,
          offerWaitMicros,
          firstTokenWaitMicros,
          callWaitMicros,
          silenceWaitMicros,
          stallWaitMicros,
          maximumAttempts,
          retryShare,
          retryMinimum,
          ejectionShare,
          ejectionMicros,
          quarantineMicros,
          logRetentionMicros,
          recomputeMicrosPerBlock,
          probeThresholdMicros,
          maximumOpenRequests,
          explanations,
          placement,
          seed,
          counters);
    }
  }
}
