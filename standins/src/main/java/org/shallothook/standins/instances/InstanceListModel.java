package org.shallothook.standins.instances;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothook.standins.fault.InjectedFaults;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceList;

/**
 * Simulates the platform's list of live and leaving instances, which publishes changes after a
 * delay.
 *
 * <p>Invariant: the version increases with each change. Not thread-safe.
 */
public final class InstanceListModel {
  private final long lagMicros;
  private final InjectedFaults disturbances = new InjectedFaults();
  private final Map<String, Instance> instances = new LinkedHashMap<>();
  private final Deque<Version> pending = new ArrayDeque<>();
  private InstanceList published;
  private long version = 1;

  /**
   * Creates a list whose initial instances are published immediately.
   *
   * @param lagMicros delay before a change is published, in microseconds
   * @param initial instances in the first published list
   */
  public InstanceListModel(long lagMicros, List<Instance> initial) {
    this.lagMicros = lagMicros;
    initial.forEach(instance -> instances.put(instance.name(), instance));
    published = new InstanceList(version, initial);
  }

  /** Returns the injected faults. */
  public InjectedFaults disturbances() {
    return disturbances;
  }

  /** Adds an instance or replaces the one with the same name. */
  public void put(Instance instance, long nowMicros) {
    instances.put(instance.name(), instance);
    addPendingVersion(nowMicros);
  }

  /** Removes an instance; unknown names are ignored. */
  public void remove(String name, long nowMicros) {
    if (instances.remove(name) != null) {
      addPendingVersion(nowMicros);
    }
  }

  /** Marks an instance as leaving or live. Returns {@code false} if the name is unknown. */
  public boolean setLeaving(String name, boolean isLeaving, long nowMicros) {
    Instance instance = instances.get(name);
    if (instance == null) {
      return false;
    }
    put(
        new Instance(
            name,
            instance.role(),
            instance.address(),
            instance.failureDomain(),
            instance.region(),
            instance.service(),
            isLeaving),
        nowMicros);
    return true;
  }

  /**
   * Returns the list published at the given time, or empty if the caller already has that version.
   */
  public Optional<InstanceList> read(long knownVersion, long nowMicros) {
    InstanceList list = publishedAt(nowMicros);
    return list.version() == knownVersion ? Optional.empty() : Optional.of(list);
  }

  /** Returns the list published at the given time. Times must not decrease between calls. */
  public InstanceList publishedAt(long nowMicros) {
    while (!pending.isEmpty() && pending.getFirst().publishedFromMicros <= nowMicros) {
      published = pending.removeFirst().list;
    }
    return published;
  }

  private void addPendingVersion(long nowMicros) {
    version++;
    InstanceList list = new InstanceList(version, List.copyOf(instances.values()));
    pending.addLast(new Version(nowMicros + lagMicros, list));
  }

  private record Version(long publishedFromMicros, InstanceList list) {}
}
