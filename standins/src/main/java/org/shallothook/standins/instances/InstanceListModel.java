package org.shallothook.standins.instances;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothook.standins.fault.Disturbances;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceList;

/**
 * The platform's list of live and leaving instances, which shows changes late.
 *
 * <p>Invariant: versions grow with each change. Not thread-safe.
 */
public final class InstanceListModel {
  private final long lagMicros;
  private final Disturbances disturbances = new Disturbances();
  private final Map<String, Instance> instances = new LinkedHashMap<>();
  private final Deque<Version> pending = new ArrayDeque<>();
  private InstanceList published;
  private long version = 1;

  /**
   * Creates a list that shows its first instances at once.
   *
   * @param lagMicros how late changes are shown, in microseconds
   * @param first instances to begin with
   */
  public InstanceListModel(long lagMicros, List<Instance> first) {
    this.lagMicros = lagMicros;
    first.forEach(instance -> instances.put(instance.name(), instance));
    published = new InstanceList(version, first);
  }

  /** Returns the faults in force. */
  public Disturbances disturbances() {
    return disturbances;
  }

  /** Adds an instance or replaces the one of the same name. */
  public void put(Instance instance, long nowMicros) {
    instances.put(instance.name(), instance);
    change(nowMicros);
  }

  /** Removes an instance; unknown names are ignored. */
  public void remove(String name, long nowMicros) {
    if (instances.remove(name) != null) {
      change(nowMicros);
    }
  }

  /** Marks an instance as leaving or as live again and returns whether it is known. */
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

  /** Returns the list as shown now, or empty where the caller knows that version. */
  public Optional<InstanceList> read(long knownVersion, long nowMicros) {
    InstanceList list = shownAt(nowMicros);
    return list.version() == knownVersion ? Optional.empty() : Optional.of(list);
  }

  /** Returns the list as shown at a time. */
  public InstanceList shownAt(long nowMicros) {
    while (!pending.isEmpty() && pending.getFirst().shownFromMicros <= nowMicros) {
      published = pending.removeFirst().list;
    }
    return published;
  }

  private void change(long nowMicros) {
    version++;
    InstanceList list = new InstanceList(version, List.copyOf(instances.values()));
    pending.addLast(new Version(nowMicros + lagMicros, list));
  }

  private record Version(long shownFromMicros, InstanceList list) {}
}
