package org.shallothook.coordination.sidecar;

import java.util.Objects;
import org.shallothook.state.membership.InstanceRole;

/**
 * Options of a sidecar's decision logic.
 *
 * <pre>{@code
 * SidecarOptions options = SidecarOptions.builder("engine-1", 17).failureDomain("a").build();
 * }</pre>
 *
 * <p>Invariant: no option is null. {@code ordinarySlotShare} is at least 0 and below 1. Every other
 * number except the incarnation is positive. Immutable and thread-safe.
 */
public final class SidecarOptions {
  private final String name;
  private final long incarnation;
  private final InstanceRole role;
  private final String service;
  private final String failureDomain;
  private final String region;
  private final int blockBytes;
  private final int maximumIndexedBlocks;
  private final int maximumQueueLength;
  private final long reservationMicros;
  private final int streamWindowTokens;
  private final double ordinarySlotShare;
  private final int maximumPreemptions;
  private final int maximumPrefills;
  private final long prefillYieldMicros;
  private final long suspectDrainMicros;
  private final long statusPollMicros;
  private final long cachePollMicros;
  private final long instancesPollMicros;
  private final long engineLossMicros;
  private final long prefillMicrosPerBlock;
  private final long streamMicros;
  private final long transferMicrosPerBlock;

  private SidecarOptions(Builder builder) {
    this.name = builder.name;
    this.incarnation = builder.incarnation;
    this.role = builder.role;
    this.service = builder.service;
    this.failureDomain = builder.failureDomain;
    this.region = builder.region;
    this.blockBytes = builder.blockBytes;
    this.maximumIndexedBlocks = builder.maximumIndexedBlocks;
    this.maximumQueueLength = builder.maximumQueueLength;
    this.reservationMicros = builder.reservationMicros;
    this.streamWindowTokens = builder.streamWindowTokens;
    this.ordinarySlotShare = builder.ordinarySlotShare;
    this.maximumPreemptions = builder.maximumPreemptions;
    this.maximumPrefills = builder.maximumPrefills;
    this.prefillYieldMicros = builder.prefillYieldMicros;
    this.suspectDrainMicros = builder.suspectDrainMicros;
    this.statusPollMicros = builder.statusPollMicros;
    this.cachePollMicros = builder.cachePollMicros;
    this.instancesPollMicros = builder.instancesPollMicros;
    this.engineLossMicros = builder.engineLossMicros;
    this.prefillMicrosPerBlock = builder.prefillMicrosPerBlock;
    this.streamMicros = builder.streamMicros;
    this.transferMicrosPerBlock = builder.transferMicrosPerBlock;
  }

  /**
   * Returns a builder with all other options at their defaults.
   *
   * @param name name of the instance
   * @param incarnation incarnation of the process; increases with each restart
   */
  public static Builder builder(String name, long incarnation) {
    return new Builder(name, incarnation);
  }

  /** Returns the name of the instance. */
  public String name() {
    return name;
  }

  /** Returns the incarnation of the process; increases with each restart. */
  public long incarnation() {
    return incarnation;
  }

  /** Returns the role of the upstream. */
  public InstanceRole role() {
    return role;
  }

  /** Returns the name of the service, or the empty string if there is none. */
  public String service() {
    return service;
  }

  /** Returns the failure domain of the upstream. */
  public String failureDomain() {
    return failureDomain;
  }

  /** Returns the region of the failure domain. */
  public String region() {
    return region;
  }

  /** Returns the size of a prompt block, in bytes. */
  public int blockBytes() {
    return blockBytes;
  }

  /** Returns the maximum number of blocks in the prefix index. */
  public int maximumIndexedBlocks() {
    return maximumIndexedBlocks;
  }

  /** Returns the maximum number of waiting requests in each priority class. */
  public int maximumQueueLength() {
    return maximumQueueLength;
  }

  /** Returns the lifetime of a reservation, in microseconds. */
  public long reservationMicros() {
    return reservationMicros;
  }

  /**
   * Returns the number of tokens that may be sent but not yet consumed before reading from the
   * engine is paused.
   */
  public int streamWindowTokens() {
    return streamWindowTokens;
  }

  /** Returns the share of the engine's slots that priority work leaves for ordinary work. */
  public double ordinarySlotShare() {
    return ordinarySlotShare;
  }

  /** Returns the maximum number of times that one stream may be preempted for priority work. */
  public int maximumPreemptions() {
    return maximumPreemptions;
  }

  /** Returns the maximum number of prompts that the engine prefills concurrently. */
  public int maximumPrefills() {
    return maximumPrefills;
  }

  /**
   * Returns the remaining time of an ordinary prefill above which it is preempted by priority work,
   * in microseconds.
   */
  public long prefillYieldMicros() {
    return prefillYieldMicros;
  }

  /**
   * Returns the maximum time for which a request suspected of causing crashes waits for the engine
   * to become idle, in microseconds.
   */
  public long suspectDrainMicros() {
    return suspectDrainMicros;
  }

  /** Returns the minimum interval between reads of the engine's status, in microseconds. */
  public long statusPollMicros() {
    return statusPollMicros;
  }

  /** Returns the minimum interval between reads of the engine's cache changes, in microseconds. */
  public long cachePollMicros() {
    return cachePollMicros;
  }

  /** Returns the interval between reads of the instance list, in microseconds. */
  public long instancesPollMicros() {
    return instancesPollMicros;
  }

  /** Returns the time after which an unreachable engine is considered lost, in microseconds. */
  public long engineLossMicros() {
    return engineLossMicros;
  }

  /**
   * Returns the initial estimate of the prefill time of one block, used until one was measured, in
   * microseconds.
   */
  public long prefillMicrosPerBlock() {
    return prefillMicrosPerBlock;
  }

  /**
   * Returns the initial estimate of the duration of one answer, used until one was measured, in
   * microseconds.
   */
  public long streamMicros() {
    return streamMicros;
  }

  /** Returns the estimated time to import one block from the cache store, in microseconds. */
  public long transferMicrosPerBlock() {
    return transferMicrosPerBlock;
  }

  /** Builder of sidecar options. Not thread-safe. */
  public static final class Builder {
    private final String name;
    private final long incarnation;
    private InstanceRole role = InstanceRole.MODEL_ENGINE;
    private String service = "";
    private String failureDomain = "";
    private String region = "";
    private int blockBytes = 4_000;
    private int maximumIndexedBlocks = 200_000;
    private int maximumQueueLength = 256;
    private long reservationMicros = 500_000;
    private int streamWindowTokens = 512;
    private double ordinarySlotShare = 0.125;
    private int maximumPreemptions = 3;
    private int maximumPrefills = 2;
    private long prefillYieldMicros = 100_000;
    private long suspectDrainMicros = 1_000_000;
    private long statusPollMicros = 50_000;
    private long cachePollMicros = 50_000;
    private long instancesPollMicros = 1_000_000;
    private long engineLossMicros = 2_000_000;
    private long prefillMicrosPerBlock = 20_000;
    private long streamMicros = 2_000_000;
    private long transferMicrosPerBlock = 2_000;

    private Builder(String name, long incarnation) {
      this.name = Objects.requireNonNull(name, "name");
      this.incarnation = incarnation;
    }

    /** Sets the role of the upstream. Default: {@link InstanceRole#MODEL_ENGINE}. */
    public Builder role(InstanceRole role) {
      this.role = Objects.requireNonNull(role, "role");
      return this;
    }

    /**
     * Sets the name of the service, or the empty string if there is none. Default: the empty
     * string.
     */
    public Builder service(String service) {
      this.service = Objects.requireNonNull(service, "service");
      return this;
    }

    /** Sets the failure domain of the upstream. Default: the empty string. */
    public Builder failureDomain(String failureDomain) {
      this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain");
      return this;
    }

    /** Sets the region of the failure domain. Default: the empty string. */
    public Builder region(String region) {
      this.region = Objects.requireNonNull(region, "region");
      return this;
    }

    /** Sets the size of a prompt block, in bytes. Default: 4,000. */
    public Builder blockBytes(int blockBytes) {
      this.blockBytes = (int) requirePositive("blockBytes", blockBytes);
      return this;
    }

    /** Sets the maximum number of blocks in the prefix index. Default: 200,000. */
    public Builder maximumIndexedBlocks(int maximumIndexedBlocks) {
      this.maximumIndexedBlocks =
          (int) requirePositive("maximumIndexedBlocks", maximumIndexedBlocks);
      return this;
    }

    /** Sets the maximum number of waiting requests in each priority class. Default: 256. */
    public Builder maximumQueueLength(int maximumQueueLength) {
      this.maximumQueueLength = (int) requirePositive("maximumQueueLength", maximumQueueLength);
      return this;
    }

    /** Sets the lifetime of a reservation, in microseconds. Default: 500,000. */
    public Builder reservationMicros(long reservationMicros) {
      this.reservationMicros = requirePositive("reservationMicros", reservationMicros);
      return this;
    }

    /**
     * Sets the number of tokens that may be sent but not yet consumed before reading from the
     * engine is paused. Default: 512.
     */
    public Builder streamWindowTokens(int streamWindowTokens) {
      this.streamWindowTokens = (int) requirePositive("streamWindowTokens", streamWindowTokens);
      return this;
    }

    /**
     * Sets the share of the engine's slots that priority work leaves for ordinary work. Default:
     * 0.125.
     */
    public Builder ordinarySlotShare(double ordinarySlotShare) {
      this.ordinarySlotShare = requireShare(ordinarySlotShare);
      return this;
    }

    /**
     * Sets the maximum number of times that one stream may be preempted for priority work. Default:
     * 3.
     */
    public Builder maximumPreemptions(int maximumPreemptions) {
      this.maximumPreemptions = (int) requirePositive("maximumPreemptions", maximumPreemptions);
      return this;
    }

    /** Sets the maximum number of prompts that the engine prefills concurrently. Default: 2. */
    public Builder maximumPrefills(int maximumPrefills) {
      this.maximumPrefills = (int) requirePositive("maximumPrefills", maximumPrefills);
      return this;
    }

    /**
     * Sets the remaining time of an ordinary prefill above which it is preempted by priority work,
     * in microseconds. Default: 100,000.
     */
    public Builder prefillYieldMicros(long prefillYieldMicros) {
      this.prefillYieldMicros = requirePositive("prefillYieldMicros", prefillYieldMicros);
      return this;
    }

    /**
     * Sets the maximum time for which a request suspected of causing crashes waits for the engine
     * to become idle, in microseconds. Default: 1,000,000.
     */
    public Builder suspectDrainMicros(long suspectDrainMicros) {
      this.suspectDrainMicros = requirePositive("suspectDrainMicros", suspectDrainMicros);
      return this;
    }

    /**
     * Sets the minimum interval between reads of the engine's status, in microseconds. Default:
     * 50,000.
     */
    public Builder statusPollMicros(long statusPollMicros) {
      this.statusPollMicros = requirePositive("statusPollMicros", statusPollMicros);
      return this;
    }

    /**
     * Sets the minimum interval between reads of the engine's cache changes, in microseconds.
     * Default: 50,000.
     */
    public Builder cachePollMicros(long cachePollMicros) {
      this.cachePollMicros = requirePositive("cachePollMicros", cachePollMicros);
      return this;
    }

    /**
     * Sets the interval between reads of the instance list, in microseconds. Default: 1,000,000.
     */
    public Builder instancesPollMicros(long instancesPollMicros) {
      this.instancesPollMicros = requirePositive("instancesPollMicros", instancesPollMicros);
      return this;
    }

    /**
     * Sets the time after which an unreachable engine is considered lost, in microseconds. Default:
     * 2,000,000.
     */
    public Builder engineLossMicros(long engineLossMicros) {
      this.engineLossMicros = requirePositive("engineLossMicros", engineLossMicros);
      return this;
    }

    /**
     * Sets the initial estimate of the prefill time of one block, used until one was measured, in
     * microseconds. Default: 20,000.
     */
    public Builder prefillMicrosPerBlock(long prefillMicrosPerBlock) {
      this.prefillMicrosPerBlock = requirePositive("prefillMicrosPerBlock", prefillMicrosPerBlock);
      return this;
    }

    /**
     * Sets the initial estimate of the duration of one answer, used until one was measured, in
     * microseconds. Default: 2,000,000.
     */
    public Builder streamMicros(long streamMicros) {
      this.streamMicros = requirePositive("streamMicros", streamMicros);
      return this;
    }

    /**
     * Sets the estimated time to import one block from the cache store, in microseconds. Default:
     * 2,000.
     */
    public Builder transferMicrosPerBlock(long transferMicrosPerBlock) {
      this.transferMicrosPerBlock =
          requirePositive("transferMicrosPerBlock", transferMicrosPerBlock);
      return this;
    }

    /** Builds the options. */
    public SidecarOptions build() {
      return new SidecarOptions(this);
    }

    private static long requirePositive(String option, long value) {
      if (value <= 0) {
        throw new IllegalArgumentException(option + " must be positive, found " + value);
      }
      return value;
    }

    private static double requireShare(double value) {
      if (!(value >= 0 && value < 1)) {
        throw new IllegalArgumentException(
            "ordinarySlotShare must be from 0 to below 1, found " + value);
      }
      return value;
    }
  }
}
