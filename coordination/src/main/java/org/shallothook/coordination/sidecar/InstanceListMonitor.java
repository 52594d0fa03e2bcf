package org.shallothook.coordination.sidecar;

import java.util.ArrayList;
import java.util.List;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceList;
import org.shallothook.state.membership.InstanceRole;

/**
 * Polls the platform's instance list and tracks which peers exist and whether this instance is
 * leaving.
 *
 * <p>Invariant: a list that is not newer than the latest one is ignored. Not thread-safe: used on
 * the decision thread.
 */
final class InstanceListMonitor {
  private final SidecarOptions options;
  private final SidecarOutbox outbox;
  private long version = -1;
  private List<Instance> peers = List.of();
  private boolean isSelfLeaving;
  private long nextReadMicros = Long.MIN_VALUE;

  InstanceListMonitor(SidecarOptions options, SidecarOutbox outbox) {
    this.options = options;
    this.outbox = outbox;
  }

  /** Returns whether this instance is marked as leaving in the list. */
  boolean isSelfLeaving() {
    return isSelfLeaving;
  }

  /** Returns the other instances in the list, including those that are leaving. */
  List<Instance> peers() {
    return peers;
  }

  /** Returns whether the list has a cache store that is not leaving. */
  boolean hasStore() {
    return peers.stream()
        .anyMatch(peer -> peer.role() == InstanceRole.CACHE_STORE && !peer.isLeaving());
  }

  void onTick(long nowMicros) {
    if (nowMicros >= nextReadMicros) {
      nextReadMicros = nowMicros + options.instancesPollMicros();
      outbox.command(new SidecarCommand.ReadInstances(version));
    }
  }

  void onRead(InstanceList list) {
    if (list.version() <= version) {
      return;
    }
    version = list.version();
    isSelfLeaving = list.instances().stream().anyMatch(this::isLeavingSelf);
    List<Instance> others = new ArrayList<>(list.instances());
    others.removeIf(instance -> instance.name().equals(options.name()));
    if (!others.equals(peers)) {
      peers = List.copyOf(others);
      outbox.command(new SidecarCommand.PeersChanged(peers));
    }
  }

  private boolean isLeavingSelf(Instance instance) {
    return instance.name().equals(options.name()) && instance.isLeaving();
  }
}
