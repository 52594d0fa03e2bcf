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
 * Keeps the directory of upstreams up to date: reads the instance list, and sends a hello to
 * upstreams whose state is unknown so that their sidecars report it.
 *
 * <p>Invariant: the list is read at jittered intervals, so that routers that start together do not
 * read it together. Not thread-safe.
 */
final class UpstreamTracker {
  private static final long READ_INTERVAL_MICROS = 2_000_000;
  private static final long FIRST_READ_MICROS = 100_000;
  private static final long HELLO_INTERVAL_MICROS = 1_000_000;
  private static final int HELLOS_PER_TICK = 16;

  private final RouterOptions options;
  private final RouterOutbox outbox;
  private final UpstreamDirectory directory;
  private final SplittableRandom random;
  private final Deque<String> pendingHellos = new ArrayDeque<>();
  private List<Instance> peers = List.of();
  private long nextReadMicros;
  private long nextHelloMicros;

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
    sendHellos();
    nextHelloMicros = nowMicros + HELLO_INTERVAL_MICROS;
  }

  /** Returns the names of all known routers and upstreams except this router. */
  Set<String> peerNames() {
    return peers.stream().map(Instance::name).collect(Collectors.toSet());
  }

  void onTick(long nowMicros) {
    if (nextReadMicros == 0) {
      nextReadMicros = nowMicros + random.nextLong(FIRST_READ_MICROS);
    }
    if (nowMicros >= nextReadMicros) {
      outbox.emit(new RouterCommand.ReadInstances(directory.listVersion()));
      nextReadMicros = nowMicros + READ_INTERVAL_MICROS / 2 + random.nextLong(READ_INTERVAL_MICROS);
    }
    if (nowMicros >= nextHelloMicros) {
      nextHelloMicros = nowMicros + HELLO_INTERVAL_MICROS;
      enqueueUnreported();
    }
    sendHellos();
  }

  private void enqueueUnreported() {
    if (!pendingHellos.isEmpty()) {
      return;
    }
    for (Upstream upstream : directory.all()) {
      if (!upstream.isLeaving() && !upstream.hasStatus()) {
        enqueue(upstream);
      }
    }
  }

  /** Queues upstreams of this router's region first, since requests are routed there first. */
  private void enqueue(Upstream upstream) {
    if (upstream.instance().region().equals(options.region())) {
      pendingHellos.addFirst(upstream.name());
    } else {
      pendingHellos.addLast(upstream.name());
    }
  }

  private void sendHellos() {
    for (int sent = 0; sent < HELLOS_PER_TICK && !pendingHellos.isEmpty(); sent++) {
      outbox.send(pendingHellos.poll(), new Hello(InstanceRole.ROUTER, options.failureDomain()));
    }
  }
}
