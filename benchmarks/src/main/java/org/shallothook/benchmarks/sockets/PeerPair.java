package org.shallothook.benchmarks.sockets;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.RequestId;
import org.shallothook.transport.Addresses;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.metrics.TransportMetrics;
import org.shallothook.transport.peer.PeerIdentity;
import org.shallothook.transport.peer.PeerListener;
import org.shallothook.transport.peer.PeerNetwork;
import org.shallothook.transport.peer.PeerSettings;

/** One sidecar and routers that are connected to it, in one process. Not thread-safe. */
final class PeerPair implements AutoCloseable {
  static final AttemptId ATTEMPT = new AttemptId(new RequestId("r-1"), 1);

  private final EventLoops sidecarLoops = EventLoops.create(1);
  private final EventLoops routerLoops = EventLoops.create(1);
  private final TransportMetrics metrics = new TransportMetrics();
  private final AtomicInteger failures = new AtomicInteger();
  private final Semaphore received = new Semaphore(0);
  private final List<PeerNetwork> routers = new ArrayList<>();
  private final Instance sidecar;

  PeerPair() {
    PeerNetwork network = network("sidecar", sidecarLoops);
    InetSocketAddress address = network.listen(Addresses.parse("127.0.0.1:0")).get();
    sidecar =
        new Instance(
            "sidecar", InstanceRole.MODEL_ENGINE, Addresses.text(address), "a", "r", "", false);
  }

  /** Connects one more router and waits until its first message has arrived. */
  PeerNetwork connect() throws InterruptedException {
    PeerNetwork router = network("router-" + routers.size(), routerLoops);
    routers.add(router);
    router.peersChanged(List.of(sidecar));
    router.send("sidecar", new PeerMessage.ConfigurationRequest(0), 0);
    // Hello in both directions, then the message.
    received.acquire(3);
    return router;
  }

  /** Waits until a number of messages has arrived. */
  void awaitMessages(int count) throws InterruptedException {
    received.acquire(count);
    if (failures.get() > 0) {
      throw new IllegalStateException("A connection failed while it was measured.");
    }
  }

  @Override
  public void close() {
    sidecarLoops.close();
    routerLoops.close();
  }

  private PeerNetwork network(String name, EventLoops loops) {
    PeerIdentity identity = new PeerIdentity(name, 1, InstanceRole.ROUTER, "a");
    return new PeerNetwork(
        identity, PeerSettings.DEFAULT, loops.internal(), new Counting(), metrics);
  }

  /** Counts messages. Thread-safe. */
  private final class Counting implements PeerListener {
    @Override
    public void messageReceived(Envelope envelope) {
      received.release();
    }

    @Override
    public void peerUnreachable(String peer) {
      failures.incrementAndGet();
    }

    @Override
    public void peerLost(String peer) {
      failures.incrementAndGet();
    }
  }
}
