package org.shallothook.coordination.router;

import java.util.Objects;
import org.shallothook.coordination.configuration.ConfigurationOptions;
import org.shallothook.coordination.placement.PlacementPolicy;
import org.shallothook.coordination.placement.PlacementStrategy;
import org.shallothook.coordination.port.Counters;

/**
 * Settings of a router's decisions.
 *
 * <pre>{@code
 * RouterOptions options = RouterOptions.builder().name("router-1").failureDomain("a").build();
 * }</pre>
 *
 * <p>Invariant: every component is set and in range. Immutable and thread-safe.
 *
 * @param name name of this router in the instance list
 * @param incarnation incarnation of the process; grows with each restart
 * @param failureDomain failure domain that the router stands in
 * @param region region of the failure domain
 * @param blockBytes bytes in a cached block
 * @param offerWaitMicros longest wait for the answer to an offer, in microseconds
 * @param firstTokenWaitMicros wait for the first token that sets a request's deadline where the
 *     caller names none, in microseconds
 * @param callWaitMicros wait for the answer of a service that sets a call's deadline, in
 *     microseconds
 * @param silenceWaitMicros lateness of a frame, and silence of its upstream, after which the
 *     attempt is given up, in microseconds
 * @param stallWaitMicros longest silence of a stream that the caller has read up to, in
 *     microseconds
 * @param maximumAttempts greatest number of times that a prompt is sent to an upstream
 * @param retryShare retries allowed for each recent success
 * @param retryMinimum retries allowed in a window without any success
 * @param ejectionShare greatest share of a model's servers that is ejected for slowness at once
 * @param ejectionMicros length of an ejection, in microseconds
 * @param quarantineMicros length of a quarantine, in microseconds
 * @param logRetentionMicros time for which the log surely keeps a record, in microseconds
 * @param recomputeMicrosPerBlock time that an engine takes to compute a block that it has not
 *     cached, in microseconds
 * @param poorHintMicros avoidable time to the first token from which on another upstream is asked,
 *     in microseconds
 * @param maximumOpenRequests greatest number of requests open at once
 * @param explanations number of finished requests whose explanation is kept
 * @param placement policy that chooses upstreams
 * @param seed seed of every random choice
 * @param counters where events are counted
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
    long poorHintMicros,
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

  /** Returns a builder with every default. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects options. Not thread-safe. */
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
    private long poorHintMicros = 100_000;
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

    /** Sets the failure domain that the router stands in. Default: the empty string. */
    public Builder failureDomain(String value) {
      failureDomain = value;
      return this;
    }

    /** Sets the region of the failure domain. Default: the empty string. */
    public Builder region(String value) {
      region = value;
      return this;
    }

    /** Sets the bytes in a cached block. Default: 4_000. */
    public Builder blockBytes(int value) {
      blockBytes = value;
      return this;
    }

    /** Sets the longest wait for the answer to an offer, in microseconds. Default: 60_000. */
    public Builder offerWaitMicros(long value) {
      offerWaitMicros = value;
      return this;
    }

    /**
     * Sets the wait for the first token that sets a request's deadline where the caller names none,
     * in microseconds. Default: 10_000_000.
     */
    public Builder firstTokenWaitMicros(long value) {
      firstTokenWaitMicros = value;
      return this;
    }

    /**
     * Sets the wait for the answer of a service that sets a call's deadline, in microseconds.
     * Default: 10_000_000.
     */
    public Builder callWaitMicros(long value) {
      callWaitMicros = value;
      return this;
    }

    /**
     * Sets the lateness of a frame, and silence of its upstream, after which the attempt is given
     * up, in microseconds. Default: 2_000_000.
     */
    public Builder silenceWaitMicros(long value) {
      silenceWaitMicros = value;
      return this;
    }

    /**
     * Sets the longest silence of a stream that the caller has read up to, in microseconds.
     * Default: 10_000_000.
     */
    public Builder stallWaitMicros(long value) {
      stallWaitMicros = value;
      return this;
    }

    /** Sets the greatest number of times that a prompt is sent to an upstream. Default: 4. */
    public Builder maximumAttempts(int value) {
      maximumAttempts = value;
      return this;
    }

    /** Sets the retries allowed for each recent success. Default: 0.2. */
    public Builder retryShare(double value) {
      retryShare = value;
      return this;
    }

    /** Sets the retries allowed in a window without any success. Default: 10. */
    public Builder retryMinimum(int value) {
      retryMinimum = value;
      return this;
    }

    /**
     * Sets the greatest share of a model's servers that is ejected for slowness at once. Default:
     * 0.34.
     */
    public Builder ejectionShare(double value) {
      ejectionShare = value;
      return this;
    }

    /** Sets the length of an ejection, in microseconds. Default: 10_000_000. */
    public Builder ejectionMicros(long value) {
      ejectionMicros = value;
      return this;
    }

    /** Sets the length of a quarantine, in microseconds. Default: 600_000_000. */
    public Builder quarantineMicros(long value) {
      quarantineMicros = value;
      return this;
    }

    /** Sets the time for which the log surely keeps a record, in microseconds. Default: an hour. */
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
     * Sets the avoidable time to the first token from which on another upstream is asked, in
     * microseconds. Default: 100_000.
     */
    public Builder poorHintMicros(long value) {
      poorHintMicros = value;
      return this;
    }

    /** Sets the greatest number of requests open at once. Default: 4_096. */
    public Builder maximumOpenRequests(int value) {
      maximumOpenRequests = value;
      return this;
    }

    /** Sets the number of finished requests whose explanation is kept. Default: 512. */
    public Builder explanations(int value) {
      explanations = value;
      return this;
    }

    /** Sets the policy that chooses upstreams. Default: PREFIX_AFFINITY. */
    public Builder placement(PlacementPolicy value) {
      placement = value;
      return this;
    }

    /** Sets the seed of every random choice. Default: 1. */
    public Builder seed(long value) {
      seed = value;
      return this;
    }

    /** Sets the where events are counted. Default: no counters. */
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
          poorHintMicros,
          maximumOpenRequests,
          explanations,
          placement,
          seed,
          counters);
    }
  }
}
