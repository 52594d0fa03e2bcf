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
 * Computes tenant prefixes for a new model version while its teams are still served with the
 * earlier version, and shares them with the other engines through the cache store.
 *
 * <p>A prefix is computed in short steps while the engine has nothing else to prefill. Each step is
 * a prompt that is a few blocks longer than the one before. Prefixes in use come first; until they
 * are stored, or a deadline has passed, the version is withheld from routers. Other prefixes of
 * priority teams are computed afterwards.
 *
 * <p>Invariants: at most one step runs at a time. A version is withheld until a stored deadline at
 * most, and no longer once the earlier version is not ready here. After an engine restart the
 * planned prefixes are not computed again. Not thread-safe: used on the decision thread.
 */
public final class PrefixWarmer implements BackgroundRun {
  /** Maximum time for which a loaded version is withheld, in microseconds. */
  static final long MAXIMUM_WITHHOLD_MICROS = 15_000_000;

  private static final long STEP_MICROS = 100_000;
  private static final long STEP_TIMEOUT_MICROS = 5_000_000;
  private static final long FAILURE_BACK_OFF_MICROS = 500_000;
  private static final int OUTPUT_TOKENS = 1;

  /** Running step. It is cancelled at the deadline, in microseconds since the epoch. */
  private record Step(AttemptId run, long deadlineMicros) {}

  private final SidecarOptions options;
  private final SidecarOutbox outbox;
  private final Counters counters;
  private final EngineMonitor engine;
  private final HotPrefixes prefixes;
  private final WarmupPlan plan;
  private final List<TenantPrefix> pending = new ArrayList<>();
  private final Map<ModelVersion, Long> withheldUntilMicros = new HashMap<>();
  private Set<String> engines = Set.of();
  private long plannedOffset = -1;
  private boolean isPlanned;
  private Optional<Step> step = Optional.empty();
  private long nextStepMicros = Long.MIN_VALUE;
  private long stepsStarted;

  /** Creates a warmer without planned prefixes. */
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

  /**
   * Updates the engines of this region, among which the prefixes are divided. The plan is computed
   * again if they changed.
   */
  public void onInstances(InstanceList list) {
    Set<String> listed = new TreeSet<>();
    listed.add(options.name());
    list.instances().stream()
        .filter(instance -> instance.role() == InstanceRole.MODEL_ENGINE && !instance.isLeaving())
        .filter(instance -> instance.region().equals(options.region()))
        .map(Instance::name)
        .forEach(listed::add);
    isPlanned = isPlanned && listed.equals(engines);
    engines = listed;
  }

  /**
   * Returns whether a version that the engine has loaded must not serve requests yet.
   *
   * @param modelVersion model version
   * @param nowMicros current time, in microseconds since the epoch
   */
  public boolean isWithheld(ModelVersion modelVersion, long nowMicros) {
    Long until = withheldUntilMicros.get(modelVersion);
    return until != null && nowMicros < until;
  }

  /**
   * Updates the plan if the configuration or the engines have changed, cancels a step that has
   * timed out, and updates the withheld versions.
   */
  public void onTick(ConfigurationState configuration, long nowMicros) {
    long offset = configuration.effectiveOffset();
    if (!isPlanned || offset != plannedOffset) {
      replan(configuration, offset);
    }
    step.filter(running -> nowMicros >= running.deadlineMicros())
        .ifPresent(running -> yieldToCallers());
    pending.removeIf(prefix -> isStored(prefix, nowMicros));
    updateWithheldVersions(nowMicros);
  }

  /**
   * Decides which of the engine's versions are withheld. Each load sets the deadline once; it is
   * never extended.
   */
  public void updateWithheldVersions(long nowMicros) {
    Set<ModelVersion> withheld = versionsToWithhold();
    withheldUntilMicros.keySet().retainAll(engine.ready());
    for (ModelVersion version : engine.ready()) {
      long deadlineMicros =
          withheld.contains(version) ? nowMicros + MAXIMUM_WITHHOLD_MICROS : nowMicros;
      withheldUntilMicros.merge(
          version,
          deadlineMicros,
          (until, latest) -> withheld.contains(version) ? until : Math.min(until, latest));
    }
  }

  /** Returns whether prefixes remain to be computed and no step is running. */
  public boolean hasPendingPrefixes() {
    return step.isEmpty() && !pending.isEmpty();
  }

  /**
   * Starts a step if one is due. Must be called only while the engine has no other prefill to do.
   */
  public void onEngineIdle(long prefillMicrosPerBlock, long nowMicros) {
    if (isRunning() || nowMicros < nextStepMicros) {
      return;
    }
    Optional<TenantPrefix> next = firstComputable(this::isInUse);
    if (next.isEmpty()) {
      next = firstComputable(prefix -> prefix.isPriority() && isEarlierServed(prefix));
    }
    next.ifPresent(prefix -> startStep(prefix, prefillMicrosPerBlock, nowMicros));
  }

  /** Returns whether a run on the engine is the current step. */
  public boolean isWarmupRun(AttemptId run) {
    return step.filter(running -> running.run().equals(run)).isPresent();
  }

  /** Handles the end of the current step. */
  public void onEnded(long nowMicros) {
    step.ifPresent(running -> prefixes.onComputed(running.run(), nowMicros));
    step = Optional.empty();
    counters.increment("openings.steps");
  }

  /** Handles the failure of the current step. The next one starts after a back-off. */
  public void onFailed(long nowMicros) {
    step.ifPresent(running -> prefixes.onRunEnded(running.run()));
    step = Optional.empty();
    nextStepMicros = nowMicros + FAILURE_BACK_OFF_MICROS;
    counters.increment("openings.failed-steps");
  }

  /** Discards the plan and the withheld versions, because the engine has restarted. */
  public void onIncarnation() {
    step = Optional.empty();
    pending.clear();
    withheldUntilMicros.clear();
  }

  @Override
  public boolean isRunning() {
    return step.isPresent();
  }

  @Override
  public void yieldToCallers() {
    step.ifPresent(
        running -> {
          outbox.command(new SidecarCommand.CancelAnswer(running.run()));
          prefixes.onRunEnded(running.run());
        });
    step = Optional.empty();
    counters.increment("openings.cancelled-steps");
  }

  private Optional<TenantPrefix> firstComputable(Predicate<TenantPrefix> condition) {
    return pending.stream()
        .filter(prefix -> condition.test(prefix) && isLoaded(prefix) && missingBlocks(prefix) > 0)
        .findFirst();
  }

  private void replan(ConfigurationState configuration, long offset) {
    plannedOffset = offset;
    isPlanned = true;
    pending.clear();
    pending.addAll(plan.homePrefixes(configuration, engines));
  }

  private boolean isStored(TenantPrefix prefix, long nowMicros) {
    boolean isComputed = isLoaded(prefix) && missingBlocks(prefix) == 0;
    boolean isStored =
        prefixes.isStored(prefix.keys())
            || (isComputed
                && prefixes.isStoredOrExport(prefix.identity(), prefix.keys(), nowMicros));
    if (isStored) {
      counters.increment("openings.stored");
    }
    return isStored;
  }

  /** Returns the versions with a prefix that is in use and not stored yet. */
  private Set<ModelVersion> versionsToWithhold() {
    Set<ModelVersion> versions = new HashSet<>();
    for (TenantPrefix prefix : pending) {
      if (isInUse(prefix)) {
        versions.add(prefix.identity().modelVersion());
      }
    }
    return versions;
  }

  /**
   * Returns whether the prefix is in use: this engine serves the earlier version and has the whole
   * prefix cached for it.
   */
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

  private int missingBlocks(TenantPrefix prefix) {
    return prefix.keys().size() - prefixes.matchedBlocks(prefix.keys());
  }

  private void startStep(TenantPrefix prefix, long prefillMicrosPerBlock, long nowMicros) {
    int matched = prefixes.matchedBlocks(prefix.keys());
    long stepBlocks = Math.max(1, STEP_MICROS / Math.max(1, prefillMicrosPerBlock));
    int blocks = (int) Math.min(prefix.keys().size(), matched + stepBlocks);
    AttemptId run =
        new AttemptId(
            RequestId.of(options.name() + "-opening", options.incarnation(), ++stepsStarted), 1);
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
