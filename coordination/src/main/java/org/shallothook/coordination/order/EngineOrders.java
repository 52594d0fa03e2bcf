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
 * Orders an engine to load and unload model versions until it has those that the configuration
 * assigns to it.
 *
 * <p>A version is loaded while the others keep serving, under a lease that limits concurrent loads
 * in the fleet. A version that no team uses any more is unloaded once all assigned versions have
 * been ready for {@link #UNLOAD_DELAY_MICROS}. Only the engine's reported state says which versions
 * it has; an accepted order has no effect here until the state reflects it.
 *
 * <p>Invariant: a version that a team uses is never unloaded; every order carries the offset of the
 * configuration that it was derived from, as its fencing token. Not thread-safe: used on the
 * decision thread.
 */
public final class EngineOrders {
  /**
   * Time for which all assigned versions must have been ready before unused ones are unloaded, in
   * microseconds. Longer than routers take to switch traffic to a new version.
   */
  static final long UNLOAD_DELAY_MICROS = 60_000_000;

  /** Time within which an ordered version must be reported as ready, in microseconds. */
  static final long LOAD_TIMEOUT_MICROS = 10_000_000;

  /** Maximum back-off before a failed load is retried, in microseconds. */
  static final long MAXIMUM_BACK_OFF_MICROS = 600_000_000;

  private static final long INITIAL_BACK_OFF_MICROS = 4_000_000;
  private static final long UNLOAD_INTERVAL_MICROS = 5_000_000;

  private final String self;
  private final int versionsPerEngine;
  private final LoadSlots slots;
  private final Consumer<SidecarCommand.OrderModelVersion> orders;
  private final Counters counters;
  private final SplittableRandom random;
  private final Map<ModelVersion, Long> nextUnloadMicros = new HashMap<>();
  private final Map<ModelVersion, BackOff> backOffs = new HashMap<>();
  private Set<String> engines;
  private Optional<ModelVersion> loading = Optional.empty();
  private boolean isLoadOrdered;
  private long loadOrderedMicros;
  private long allReadySinceMicros = Long.MAX_VALUE;

  /**
   * Back-off after failed loads of a version.
   *
   * @param micros current back-off before jitter, in microseconds
   * @param untilMicros earliest time of the next attempt, in microseconds since the epoch
   */
  private record BackOff(long micros, long untilMicros) {}

  /**
   * Creates the order logic for one engine.
   *
   * @param self name of this instance
   * @param incarnation incarnation of this process; part of the seed for jitter
   * @param versionsPerEngine maximum number of versions assigned to an engine
   * @param slots this process's access to the fleet-wide load slots
   * @param orders receives the orders for the engine
   * @param counters counters for orders
   */
  public EngineOrders(
      String self,
      long incarnation,
      int versionsPerEngine,
      LoadSlots slots,
      Consumer<SidecarCommand.OrderModelVersion> orders,
      Counters counters) {
    this.self = self;
    this.versionsPerEngine = versionsPerEngine;
    this.slots = slots;
    this.orders = orders;
    this.counters = counters;
    this.random = new SplittableRandom(self.hashCode() * 31L + incarnation);
    this.engines = Set.of(self);
  }

  /**
   * Updates the set of engines over which versions are assigned. Engines that are leaving are not
   * counted.
   */
  public void onInstances(InstanceList list) {
    engines = new TreeSet<>();
    engines.add(self);
    list.instances().stream()
        .filter(instance -> instance.role() == InstanceRole.MODEL_ENGINE && !instance.isLeaving())
        .map(Instance::name)
        .forEach(engines::add);
  }

  /** Handles the engine's response to an order. A refused load is retried after a back-off. */
  public void onOrderAnswered(Optional<Boolean> accepted, long nowMicros) {
    if (accepted.isPresent() && !accepted.get()) {
      counters.increment("orders.refused");
      loading.ifPresent(version -> backOff(version, nowMicros));
    }
  }

  /**
   * Orders the next missing version to be loaded, or unused ones to be unloaded.
   *
   * @param configuration configuration in force; must not be older than the latest offset announced
   *     by a peer
   * @param ready versions that the engine reports as ready; the engine must be reachable
   */
  public void onTick(ConfigurationState configuration, Set<ModelVersion> ready, long nowMicros) {
    Set<ModelVersion> inUse = VersionAssignment.versionsInUse(configuration);
    Set<ModelVersion> desired = VersionAssignment.of(inUse, engines, versionsPerEngine, self);
    backOffs.keySet().retainAll(desired);
    backOffs.keySet().removeAll(ready);
    Optional<ModelVersion> next =
        desired.stream()
            .filter(version -> !ready.contains(version) && mayAttempt(version, nowMicros))
            .findFirst();
    if (!next.equals(loading)) {
      setLoading(next);
    }
    if (next.isPresent()) {
      load(next.get(), configuration.effectiveOffset(), nowMicros);
    }
    if (!ready.containsAll(desired)) {
      allReadySinceMicros = Long.MAX_VALUE;
    } else if (!desired.isEmpty()) {
      allReadySinceMicros = Math.min(allReadySinceMicros, nowMicros);
      unload(inUse, ready, configuration.effectiveOffset(), nowMicros);
    }
  }

  /** Changes the version being loaded. Releases the slot held for the previous one, if any. */
  private void setLoading(Optional<ModelVersion> missing) {
    if (loading.isPresent()) {
      slots.release();
    }
    loading = missing;
    isLoadOrdered = false;
  }

  private void load(ModelVersion version, long fencing, long nowMicros) {
    if (isLoadOrdered && nowMicros >= loadOrderedMicros + LOAD_TIMEOUT_MICROS) {
      counters.increment("orders.not-read-back");
      backOff(version, nowMicros);
      return;
    }
    slots.request();
    slots.onTick(nowMicros);
    if (!isLoadOrdered && slots.mayLoad(nowMicros)) {
      isLoadOrdered = true;
      loadOrderedMicros = nowMicros;
      counters.increment("orders.loads");
      orders.accept(new SidecarCommand.OrderModelVersion(fencing, version, true));
    }
  }

  private void unload(
      Set<ModelVersion> inUse, Set<ModelVersion> ready, long fencing, long nowMicros) {
    if (nowMicros - allReadySinceMicros < UNLOAD_DELAY_MICROS) {
      return;
    }
    for (ModelVersion version : ready) {
      boolean isDue = nowMicros >= nextUnloadMicros.getOrDefault(version, 0L);
      if (!inUse.contains(version) && isDue) {
        nextUnloadMicros.put(version, nowMicros + UNLOAD_INTERVAL_MICROS);
        counters.increment("orders.unloads");
        orders.accept(new SidecarCommand.OrderModelVersion(fencing, version, false));
      }
    }
  }

  private boolean mayAttempt(ModelVersion version, long nowMicros) {
    BackOff backOff = backOffs.get(version);
    return backOff == null || nowMicros >= backOff.untilMicros();
  }

  /** Releases the load slot and doubles the version's back-off, with jitter. */
  private void backOff(ModelVersion version, long nowMicros) {
    BackOff previous = backOffs.get(version);
    long micros =
        previous == null
            ? INITIAL_BACK_OFF_MICROS
            : Math.min(MAXIMUM_BACK_OFF_MICROS, 2 * previous.micros());
    long wait = micros / 2 + random.nextLong(micros);
    backOffs.put(version, new BackOff(micros, nowMicros + wait));
    setLoading(Optional.empty());
  }
}
