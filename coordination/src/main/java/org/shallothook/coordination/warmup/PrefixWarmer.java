package org.shallothook.coordination.warmup;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.shallothook.coordination.admission.BackgroundRun;
import org.shallothook.coordination.engine.EngineMonitor;
import org.shallothook.coordination.hotprefix.HotPrefixes;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarOptions;
import org.shallothook.coordination.sidecar.SidecarOutbox;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.ConfigurationState;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceList;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.RequestId;

/**
 * Computes the openings of a new model version while its teams are still served with the earlier
 * one, and hands them to the other engines through the cache store.
 *
 * <p>An opening is computed in short steps, each a prompt that is a few blocks longer than the one
 * before, whenever the engine reads nothing else. Until the openings in use are stored, or a
 * deadline has passed, the version is held back from routers. Those of teams with priority follow.
 *
 * <p>Invariants: at most one step runs; every hold ends at a stored deadline, and ends at once
 * where the earlier version is not ready here; nothing is computed again for an engine that was
 * lost meanwhile. Not thread-safe: used on the decision thread.
 */
public final class PrefixWarmer implements BackgroundRun {
  /** Longest time for which a loaded version is held back, in microseconds. */
  static final long HOLD_MICROS = 15_000_000;

  private static final long STEP_MICROS = 100_000;
  private static final long STEP_TIMEOUT_MICROS = 5_000_000;
  private static final long FAILURE_WAIT_MICROS = 500_000;
  private static final int OUTPUT_TOKENS = 1;

  private record Step(AttemptId run, long deadlineMicros) {}

  private final SidecarOptions options;
  private final SidecarOutbox outbox;
  private final Counters counters;
  private final EngineMonitor engine;
  private final HotPrefixes prefixes;
  private final WarmupPlan plan;
  private final List<TenantPrefix> open = new ArrayList<>();
  private final Map<ModelVersion, Long> holdUntilMicros = new HashMap<>();
  private Set<String> engines = Set.of();
  private long plannedOffset = -1;
  private boolean isPlanned;
  private Optional<Step> step = Optional.empty();
  private long nextStepMicros = Long.MIN_VALUE;
  private long steps;

  /** Creates a warmer that has nothing to compute. */
  public PrefixWarmer(
      SidecarOptions options,
      int versionsPerEngine,
      SidecarOutbox outbox,
      Counters counters,
      EngineMonitor engine,
      HotPrefixes prefixes) {
    this.options = options;
    this.outbox = outbox;
    this.counters = counters;
    this.engine = engine;
    this.prefixes = prefixes;
    this.plan = new WarmupPlan(options.name(), options.blockBytes(), versionsPerEngine, counters);
  }

  /** Takes the list of instances, over whose engines openings are divided. */
  public void onInstances(InstanceList list) {
    Set<String> listed = new TreeSet<>();
    listed.add(options.name());
    list.instances().stream()
        .filter(one -> one.role() == InstanceRole.MODEL_ENGINE && !one.isLeaving())
        .filter(one -> one.region().equals(options.region()))
        .map(Instance::name)
        .forEach(listed::add);
    isPlanned = isPlanned && listed.equals(engines);
    engines = listed;
  }

  /**
   * Returns whether a version that the engine has loaded is not to be used by callers yet.
   *
   * @param modelVersion version
   * @param nowMicros time of the question
   */
  public boolean isWithheld(ModelVersion modelVersion, long nowMicros) {
    Long until = holdUntilMicros.get(modelVersion);
    return until != null && nowMicros < until;
  }

  /** Plans anew where the configuration has changed, and reviews what is held back. */
  public void onTick(ConfigurationState configuration, long nowMicros) {
    long offset = configuration.effectiveOffset();
    if (!isPlanned || offset != plannedOffset) {
      replan(configuration, offset);
    }
    step.filter(one -> nowMicros >= one.deadlineMicros()).ifPresent(one -> yieldToCallers());
    open.removeIf(prefix -> isStored(prefix, nowMicros));
    updateWithheldVersions(nowMicros);
  }

  /** Decides what is held back of the versions that the engine has, once for each load. */
  public void updateWithheldVersions(long nowMicros) {
    Set<ModelVersion> awaited = awaited();
    holdUntilMicros.keySet().retainAll(engine.ready());
    for (ModelVersion version : engine.ready()) {
      long latest = awaited.contains(version) ? nowMicros + HOLD_MICROS : nowMicros;
      holdUntilMicros.merge(
          version,
          latest,
          (until, now) -> awaited.contains(version) ? until : Math.min(until, now));
    }
  }

  /** Returns whether there may be something to compute, if the engine has time. */
  public boolean isWaiting() {
    return step.isEmpty() && !open.isEmpty();
  }

  /** Starts a step. To be called only while the engine has nothing else to read. */
  public void onEngineIdle(long prefillMicrosPerBlock, long nowMicros) {
    if (isRunning() || nowMicros < nextStepMicros) {
      return;
    }
    Optional<TenantPrefix> next = first(this::isInUse);
    if (next.isEmpty()) {
      next = first(prefix -> prefix.isPriority() && isEarlierServed(prefix));
    }
    next.ifPresent(prefix -> start(prefix, prefillMicrosPerBlock, nowMicros));
  }

  /** Returns whether a run on the engine is a step of this. */
  public boolean isWarmupRun(AttemptId run) {
    return step.filter(one -> one.run().equals(run)).isPresent();
  }

  /** Takes the end of a step. */
  public void onEnded(long nowMicros) {
    step.ifPresent(one -> prefixes.onComputed(one.run(), nowMicros));
    step = Optional.empty();
    counters.increment("openings.steps");
  }

  /** Takes the failure of a step. */
  public void onFailed(long nowMicros) {
    step.ifPresent(one -> prefixes.onRunEnded(one.run()));
    step = Optional.empty();
    nextStepMicros = nowMicros + FAILURE_WAIT_MICROS;
    counters.increment("openings.failed-steps");
  }

  /** Gives up what was planned: the engine has started anew. */
  public void onIncarnation() {
    step = Optional.empty();
    open.clear();
    holdUntilMicros.clear();
  }

  @Override
  public boolean isRunning() {
    return step.isPresent();
  }

  @Override
  public void yieldToCallers() {
    step.ifPresent(
        one -> {
          outbox.command(new SidecarCommand.CancelAnswer(one.run()));
          prefixes.onRunEnded(one.run());
        });
    step = Optional.empty();
    counters.increment("openings.cancelled-steps");
  }

  private Optional<TenantPrefix> first(Predicate<TenantPrefix> condition) {
    return open.stream()
        .filter(prefix -> condition.test(prefix) && isLoaded(prefix) && missing(prefix) > 0)
        .findFirst();
  }

  private void replan(ConfigurationState configuration, long offset) {
    plannedOffset = offset;
    isPlanned = true;
    open.clear();
    open.addAll(plan.openings(configuration, engines));
  }

  private boolean isStored(TenantPrefix prefix, long nowMicros) {
    boolean isComputed = isLoaded(prefix) && missing(prefix) == 0;
    boolean isStored =
        prefixes.isStored(prefix.keys())
            || (isComputed && prefixes.hasExported(prefix.identity(), prefix.keys(), nowMicros));
    if (isStored) {
      counters.increment("openings.stored");
    }
    return isStored;
  }

  /** Returns the versions with an opening that callers will need and that is not stored yet. */
  private Set<ModelVersion> awaited() {
    Set<ModelVersion> awaited = new HashSet<>();
    for (TenantPrefix prefix : open) {
      if (isInUse(prefix)) {
        awaited.add(prefix.identity().modelVersion());
      }
    }
    return awaited;
  }

  /** Returns whether callers use the opening with the earlier version, which is served here. */
  private boolean isInUse(TenantPrefix prefix) {
    List<BlockKey> earlier = prefix.earlierKeys();
    return isEarlierServed(prefix) && prefixes.matchedBlocks(earlier) == earlier.size();
  }

  private boolean isEarlierServed(TenantPrefix prefix) {
    return engine.ready().contains(prefix.earlierIdentity().modelVersion());
  }

  private boolean isLoaded(TenantPrefix prefix) {
    return engine.ready().contains(prefix.identity().modelVersion());
  }

  private int missing(TenantPrefix prefix) {
    return prefix.keys().size() - prefixes.matchedBlocks(prefix.keys());
  }

  private void start(TenantPrefix prefix, long prefillMicrosPerBlock, long nowMicros) {
    int matched = prefixes.matchedBlocks(prefix.keys());
    long stepBlocks = Math.max(1, STEP_MICROS / Math.max(1, prefillMicrosPerBlock));
    int blocks = (int) Math.min(prefix.keys().size(), matched + stepBlocks);
    AttemptId run =
        new AttemptId(RequestId.of(options.name() + "-opening", options.incarnation(), ++steps), 1);
    List<BlockKey> keys = prefix.keys().subList(0, blocks);
    step = Optional.of(new Step(run, nowMicros + STEP_TIMEOUT_MICROS));
    prefixes.onStarted(run, keys, (blocks - matched) * prefillMicrosPerBlock, nowMicros);
    outbox.command(
        new SidecarCommand.StartAnswer(
            run,
            prefix.identity(),
            PriorityClass.ORDINARY,
            keys,
            prefix.prompt(blocks),
            "",
            0,
            OUTPUT_TOKENS));
  }
}
