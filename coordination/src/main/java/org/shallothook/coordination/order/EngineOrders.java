package org.shallothook.coordination.order;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.shallothook.coordination.lease.LoadSlots;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.ConfigurationState;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceList;
import org.shallothook.state.membership.InstanceRole;

/**
 * Brings an engine to the model versions that the configuration assigns to it.
 *
 * <p>A version is loaded beside those that serve, under a lease that bounds loads over the fleet. A
 * version that no team uses any more is unloaded once everything assigned has been ready for a
 * time. The engine's own word tells what it runs; an order counts for nothing until it is read
 * back.
 *
 * <p>Invariant: a version that a team uses is never unloaded; orders carry the offset of the
 * configuration that they follow from. Not thread-safe: used on the decision thread.
 */
public final class EngineOrders {
  /**
   * Time for which assigned versions must have been ready before others are unloaded; longer than
   * routers take to move their callers.
   */
  static final long SETTLE_MICROS = 60_000_000;

  /** Time given to a load to be read back, in microseconds. */
  static final long LOAD_PATIENCE_MICROS = 10_000_000;

  /** Longest wait before a version that could not be loaded is tried again, in microseconds. */
  static final long LONGEST_BACK_OFF_MICROS = 600_000_000;

  private static final long FIRST_BACK_OFF_MICROS = 4_000_000;
  private static final long UNLOAD_INTERVAL_MICROS = 5_000_000;

  private final String self;
  private final int versionsPerEngine;
  private final LoadSlots slots;
  private final Consumer<SidecarCommand.OrderEngine> orders;
  private final Counters counters;
  private final SplittableRandom random;
  private final Map<ModelVersion, Long> unloadAgainMicros = new HashMap<>();
  private final Map<ModelVersion, BackOff> backOffs = new HashMap<>();
  private Set<String> engines;
  private Optional<ModelVersion> loading = Optional.empty();
  private boolean isOrdered;
  private long orderedMicros;
  private long completeSinceMicros = Long.MAX_VALUE;

  /**
   * Wait after loads of a version that failed.
   *
   * @param micros length of the last wait, in microseconds
   * @param untilMicros when the version may be tried again, in microseconds since the epoch
   */
  private record BackOff(long micros, long untilMicros) {}

  /**
   * Creates the orders of one engine.
   *
   * @param self name of this instance
   * @param incarnation incarnation of this process, which varies its jitter
   * @param versionsPerEngine number of versions that an engine is to have at most
   * @param slots share in the loads of the fleet
   * @param orders takes orders to the engine
   * @param counters counters of orders
   */
  public EngineOrders(
      String self,
      long incarnation,
      int versionsPerEngine,
      LoadSlots slots,
      Consumer<SidecarCommand.OrderEngine> orders,
      Counters counters) {
    this.self = self;
    this.versionsPerEngine = versionsPerEngine;
    this.slots = slots;
    this.orders = orders;
    this.counters = counters;
    this.random = new SplittableRandom(self.hashCode() * 31L + incarnation);
    this.engines = Set.of(self);
  }

  /** Takes the list of instances, over whose engines versions are assigned. */
  public void onInstances(InstanceList list) {
    engines = new TreeSet<>();
    engines.add(self);
    list.instances().stream()
        .filter(instance -> instance.role() == InstanceRole.MODEL_ENGINE && !instance.isLeaving())
        .map(Instance::name)
        .forEach(engines::add);
  }

  /** Takes the engine's answer to an order. */
  public void onOrderAnswered(Optional<Boolean> accepted, long nowMicros) {
    if (accepted.isPresent() && !accepted.get()) {
      counters.increment("orders.refused");
      loading.ifPresent(version -> backOff(version, nowMicros));
    }
  }

  /**
   * Orders what the engine lacks, or has too much of.
   *
   * @param configuration configuration in force; must not be behind what was heard of
   * @param ready versions that the engine says it has; only while it is reachable
   */
  public void onTick(ConfigurationState configuration, Set<ModelVersion> ready, long nowMicros) {
    Set<ModelVersion> inUse = VersionAssignment.versionsInUse(configuration);
    Set<ModelVersion> wanted = VersionAssignment.of(inUse, engines, versionsPerEngine, self);
    backOffs.keySet().retainAll(wanted);
    backOffs.keySet().removeAll(ready);
    Optional<ModelVersion> next =
        wanted.stream()
            .filter(version -> !ready.contains(version) && mayTry(version, nowMicros))
            .findFirst();
    if (!next.equals(loading)) {
      startOver(next);
    }
    if (next.isPresent()) {
      load(next.get(), configuration.effectiveOffset(), nowMicros);
    }
    if (!ready.containsAll(wanted)) {
      completeSinceMicros = Long.MAX_VALUE;
    } else if (!wanted.isEmpty()) {
      completeSinceMicros = Math.min(completeSinceMicros, nowMicros);
      unload(inUse, ready, configuration.effectiveOffset(), nowMicros);
    }
  }

  private void startOver(Optional<ModelVersion> missing) {
    if (loading.isPresent()) {
      slots.release();
    }
    loading = missing;
    isOrdered = false;
  }

  private void load(ModelVersion version, long fencing, long nowMicros) {
    if (isOrdered && nowMicros >= orderedMicros + LOAD_PATIENCE_MICROS) {
      counters.increment("orders.not-read-back");
      backOff(version, nowMicros);
      return;
    }
    slots.want();
    slots.onTick(nowMicros);
    if (!isOrdered && slots.mayLoad(nowMicros)) {
      isOrdered = true;
      orderedMicros = nowMicros;
      counters.increment("orders.loads");
      orders.accept(new SidecarCommand.OrderEngine(fencing, version, true));
    }
  }

  private void unload(
      Set<ModelVersion> inUse, Set<ModelVersion> ready, long fencing, long nowMicros) {
    if (nowMicros - completeSinceMicros < SETTLE_MICROS) {
      return;
    }
    for (ModelVersion version : ready) {
      boolean isDue = nowMicros >= unloadAgainMicros.getOrDefault(version, 0L);
      if (!inUse.contains(version) && isDue) {
        unloadAgainMicros.put(version, nowMicros + UNLOAD_INTERVAL_MICROS);
        counters.increment("orders.unloads");
        orders.accept(new SidecarCommand.OrderEngine(fencing, version, false));
      }
    }
  }

  private boolean mayTry(ModelVersion version, long nowMicros) {
    BackOff backOff = backOffs.get(version);
    return backOff == null || nowMicros >= backOff.untilMicros();
  }

  /** Gives the slot to others and doubles the wait for the version, with jitter. */
  private void backOff(ModelVersion version, long nowMicros) {
    BackOff last = backOffs.get(version);
    long micros =
        last == null ? FIRST_BACK_OFF_MICROS : Math.min(LONGEST_BACK_OFF_MICROS, 2 * last.micros());
    long wait = micros / 2 + random.nextLong(micros);
    backOffs.put(version, new BackOff(micros, nowMicros + wait));
    startOver(Optional.empty());
  }
}
