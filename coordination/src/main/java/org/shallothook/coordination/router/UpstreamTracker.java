package org.shallothook.coordination.router;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.shallothook.coordination.membership.Upstream;
import org.shallothook.coordination.membership.UpstreamDirectory;
import org.shallothook.coordination.message.PeerMessage.Hello;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceList;
import org.shallothook.state.membership.InstanceRole;

/**
 * Keeps the directory of upstreams current: reads the instance list, and greets upstreams whose
 * state is unknown so that their sidecars report it.
 *
 * <p>Invariant: the list is read at jittered times, so that routers that start together do not read
 * together. Not thread-safe.
 */
final class UpstreamTracker {
  private static final long READ_INTERVAL_MICROS = 2_000_000;
  private static final long FIRST_READ_MICROS = 100_000;
  private static final long GREETING_INTERVAL_MICROS = 1_000_000;
  private static final int GREETINGS_PER_TICK = 16;

  private final RouterOptions options;
  private final RouterOutbox outbox;
  private final UpstreamDirectory directory;
  private final SplittableRandom random;
  private final Deque<String> ungreeted = new ArrayDeque<>();
  private List<Instance> peers = List.of();
  private long readAtMicros;
  private long greetAtMicros;

  UpstreamTracker(
      RouterOptions options,
      RouterOutbox outbox,
      UpstreamDirectory directory,
      SplittableRandom random) {
    this.options = options;
    this.outbox = outbox;
    this.directory = directory;
    this.random = random;
  }

  void onInstances(InstanceList list, long nowMicros) {
    List<Upstream> added = directory.onInstances(list);
    List<Instance> newPeers = new ArrayList<>();
    for (Instance router : directory.routers()) {
      if (!router.name().equals(options.name())) {
        newPeers.add(router);
      }
    }
    directory.all().forEach(upstream -> newPeers.add(upstream.instance()));
    if (!newPeers.equals(peers)) {
      peers = List.copyOf(newPeers);
      outbox.emit(new RouterCommand.PeersChanged(peers));
    }
    added.forEach(this::enqueue);
    greet();
    greetAtMicros = nowMicros + GREETING_INTERVAL_MICROS;
  }

  /** Returns the names of all known routers and upstreams, without this router. */
  Set<String> peerNames() {
    return peers.stream().map(Instance::name).collect(Collectors.toSet());
  }

  void onTick(long nowMicros) {
    if (readAtMicros == 0) {
      readAtMicros = nowMicros + random.nextLong(FIRST_READ_MICROS);
    }
    if (nowMicros >= readAtMicros) {
      outbox.emit(new RouterCommand.ReadInstances(directory.listVersion()));
      readAtMicros = nowMicros + READ_INTERVAL_MICROS / 2 + random.nextLong(READ_INTERVAL_MICROS);
    }
    if (nowMicros >= greetAtMicros) {
      greetAtMicros = nowMicros + GREETING_INTERVAL_MICROS;
      greetUnreported();
    }
    greet();
  }

  private void greetUnreported() {
    if (!ungreeted.isEmpty()) {
      return;
    }
    for (Upstream upstream : directory.all()) {
      if (!upstream.isLeaving() && !upstream.hasStatus()) {
        enqueue(upstream);
      }
    }
  }

  /** Puts upstreams of the own region first, since requests go there first. */
  private void enqueue(Upstream upstream) {
    if (upstream.instance().region().equals(options.region())) {
      ungreeted.addFirst(upstream.name());
    } else {
      ungreeted.addLast(upstream.name());
    }
  }

  private void greet() {
    for (int sent = 0; sent < GREETINGS_PER_TICK && !ungreeted.isEmpty(); sent++) {
      outbox.send(ungreeted.poll(), new Hello(InstanceRole.ROUTER, options.failureDomain()));
    }
  }
}
