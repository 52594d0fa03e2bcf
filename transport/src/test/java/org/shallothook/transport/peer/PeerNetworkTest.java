package org.shallothook.transport.peer;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.protocol.peer.EnvelopeCodec;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.RequestId;
import org.shallothook.transport.Addresses;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.metrics.TransportMetrics;
import org.shallothook.transport.peer.RecordingListener.PeerEvent;

@Timeout(60)
final class PeerNetworkTest {
  private static final PeerMessage HELLO = new PeerMessage.Hello(InstanceRole.ROUTER, "a");
  private static final AttemptId ATTEMPT = new AttemptId(new RequestId("r-1"), 1);
  private static final PeerMessage CANCEL = new PeerMessage.Cancel(ATTEMPT);
  private static final PeerMessage CALL =
      new PeerMessage.Call(
          ATTEMPT, "team", "bookings", "book", Optional.empty(), "", "", false, false, 0);
  private static final PeerMessage ENDED = new PeerMessage.Ended(ATTEMPT, 3, "stop", 0);

  private final EventLoops loops = EventLoops.create(1);
  private final TransportMetrics metrics = new TransportMetrics();
  private final RecordingListener router = new RecordingListener();
  private final RecordingListener sidecar = new RecordingListener();
  private final PeerNetwork routerPeers = network("router-1", 1, settings(), router);
  private final PeerNetwork sidecarPeers = network("engine-1", 1, settings(), sidecar);

  @AfterEach
  void close() {
    loops.close();
  }

  @Test
  void aSidecarAnswersOverTheConnectionThatTheRouterOpened() throws Exception {
    connectRouterToSidecar();
    routerPeers.send("engine-1", CANCEL, 7);
    assertThat(sidecar.nextMessage()).isEqualTo(new Envelope("router-1", 1, 7, HELLO));
    assertThat(sidecar.nextMessage()).isEqualTo(new Envelope("router-1", 1, 7, CANCEL));
    sidecarPeers.send("router-1", ENDED, 8);

    assertThat(router.nextMessage().sender()).isEqualTo("engine-1");
    assertThat(router.nextMessage()).isEqualTo(new Envelope("engine-1", 1, 8, ENDED));
  }

  @Test
  void aPeerWithoutAnAddressIsUnreachable() throws Exception {
    routerPeers.send("engine-9", CANCEL, 0);

    assertThat(router.next()).isEqualTo(new PeerEvent.Unreachable("engine-9"));
  }

  @Test
  void aRefusedConnectionIsUnreachableAndFurtherMessagesWaitForNothing() throws Exception {
    try (Socket boundOnly = new Socket()) {
      // A bound port without a listener always refuses; another process could listen on a closed
      // one.
      boundOnly.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      setAddress("engine-1", "127.0.0.1:" + boundOnly.getLocalPort());
      routerPeers.send("engine-1", CANCEL, 0);
      assertThat(router.next()).isEqualTo(new PeerEvent.Unreachable("engine-1"));
      routerPeers.send("engine-1", CANCEL, 0);

      assertThat(router.next()).isEqualTo(new PeerEvent.Unreachable("engine-1"));
    }
  }

  @Test
  void aPeerThatAcceptsAndNeverSaysHelloIsUnreachableBecauseNothingWasSent() throws Exception {
    PeerNetwork routerTwo = network("router-2", 1, shortConnectTimeout(), router);
    try (RawPeer frozen = new RawPeer()) {
      routerTwo.peersChanged(List.of(instance("engine-1", frozen.address())));
      routerTwo.send("engine-1", CANCEL, 0);
      assertThat(router.next()).isEqualTo(new PeerEvent.Unreachable("engine-1"));
      frozen.accept();

      assertThat(frozen.read().message()).isEqualTo(HELLO);
      frozen.readToEnd();
    }
  }

  @Test
  void aConnectionThatEndsAfterHelloIsLost() throws Exception {
    try (RawPeer raw = new RawPeer()) {
      setAddress("engine-1", raw.address());
      routerPeers.send("engine-1", CANCEL, 0);
      raw.accept();
      raw.sendHello("engine-1", 1);
      raw.read();
      assertThat(raw.read().message()).isEqualTo(CANCEL);
      raw.closeConnection();

      assertThat(router.nextMessage().sender()).isEqualTo("engine-1");
      assertThat(router.next()).isEqualTo(new PeerEvent.Lost("engine-1"));
    }
  }

  @Test
  void anotherInstanceAtAnOldAddressGetsNothing() throws Exception {
    try (RawPeer raw = new RawPeer()) {
      setAddress("engine-1", raw.address());
      routerPeers.send("engine-1", CANCEL, 0);
      raw.accept();
      raw.sendHello("engine-2", 1);

      assertThat(router.next()).isEqualTo(new PeerEvent.Unreachable("engine-1"));
      assertThat(raw.read().message()).isEqualTo(HELLO);
      raw.readToEnd();
    }
  }

  @Test
  void aPeerThatDoesNotReadIsLostAndCounted() throws Exception {
    PeerMessage large = new PeerMessage.Submit(ATTEMPT, "x".repeat(60_000), "");
    try (RawPeer raw = new RawPeer()) {
      setAddress("engine-1", raw.address());
      routerPeers.send("engine-1", CANCEL, 0);
      raw.accept();
      raw.sendHello("engine-1", 1);
      router.nextMessage();
      for (int count = 0; count < 2_000 && metrics.count("peer.write-buffer-full") == 0; count++) {
        routerPeers.send("engine-1", large, 0);
        loops.internal().submit(() -> {}).sync();
      }

      assertThat(router.next()).isEqualTo(new PeerEvent.Lost("engine-1"));
      assertThat(metrics.count("peer.write-buffer-full")).isEqualTo(1);
    }
  }

  @Test
  void aSilentPeerIsLost() throws Exception {
    PeerNetwork routerTwo = network("router-2", 1, shortIdleTimeout(), router);
    try (RawPeer raw = new RawPeer()) {
      routerTwo.peersChanged(List.of(instance("engine-1", raw.address())));
      routerTwo.send("engine-1", CALL, 0);
      raw.accept();
      raw.sendHello("engine-1", 1);
      router.nextMessage();

      assertThat(router.next()).isEqualTo(new PeerEvent.Lost("engine-1"));
    }
  }

  @Test
  void aNewIncarnationReplacesTheOldAndTheOldIsRejected() throws Exception {
    InetSocketAddress address = listen(sidecarPeers);
    try (RawPeer old = new RawPeer();
        RawPeer fresh = new RawPeer();
        RawPeer late = new RawPeer()) {
      old.connect(address);
      old.sendHello("router-1", 1);
      sidecar.nextMessage();
      fresh.connect(address);
      fresh.sendHello("router-1", 2);
      assertThat(sidecar.next()).isEqualTo(new PeerEvent.Lost("router-1"));
      assertThat(sidecar.nextMessage().senderIncarnation()).isEqualTo(2);
      old.readToEnd();
      late.connect(address);
      late.sendHello("router-1", 1);
      late.readToEnd();
      sidecarPeers.send("router-1", ENDED, 0);

      assertThat(fresh.read().message()).isInstanceOf(PeerMessage.Hello.class);
      assertThat(fresh.read().message()).isEqualTo(ENDED);
    }
  }

  @Test
  void framesThatAreMalformedTooLongOrOfAnotherSenderCloseTheConnectionAlone() throws Exception {
    InetSocketAddress address = listen(sidecarPeers);
    List<Fault> faults =
        List.of(
            peer -> peer.send(new byte[] {1, 2, 3}),
            peer -> peer.sendLength(Integer.MAX_VALUE),
            peer -> peer.sendLength(-1),
            peer -> peer.sendHello("router-9", 1));
    for (Fault fault : faults) {
      try (RawPeer raw = new RawPeer()) {
        raw.connect(address);
        raw.sendHello("router-1", 1);
        sidecar.nextMessage();
        fault.accept(raw);
        raw.readToEnd();

        assertThat(sidecar.next()).isEqualTo(new PeerEvent.Lost("router-1"));
      }
    }
  }

  @Test
  void theOpenerClosesAnIdleConnectionWithoutReportingALoss() throws Exception {
    PeerNetwork routerTwo = network("router-2", 1, shortIdleTimeout(), router);
    PeerNetwork upstream = network("engine-1", 1, shortIdleTimeout(), sidecar);
    routerTwo.peersChanged(List.of(instance("engine-1", Addresses.text(listen(upstream)))));
    routerTwo.send("engine-1", CANCEL, 0);
    sidecar.nextMessage();
    sidecar.nextMessage();

    assertThat(sidecar.next()).isEqualTo(new PeerEvent.Lost("router-2"));
    assertThat(router.nextMessage().sender()).isEqualTo("engine-1");
    assertThat(metrics.count("peer.idle-closed")).isEqualTo(1);
  }

  @Test
  void aConnectionWithAnOpenAttemptIsKeptUntilTheAnswer() throws Exception {
    PeerNetwork routerTwo = network("router-2", 1, shortIdleTimeout(), router);
    PeerNetwork upstream = network("engine-1", 1, shortIdleTimeout(), sidecar);
    routerTwo.peersChanged(List.of(instance("engine-1", Addresses.text(listen(upstream)))));
    routerTwo.send("engine-1", CALL, 0);
    sidecar.nextMessage();
    sidecar.nextMessage();
    router.nextMessage();
    loops.internal().schedule(() -> {}, 400, TimeUnit.MILLISECONDS).sync();
    assertThat(metrics.count("peer.idle-closed")).isEqualTo(0);
    upstream.send("router-2", new PeerMessage.CallAnswer(ATTEMPT, 200, "", ""), 0);

    assertThat(sidecar.next()).isEqualTo(new PeerEvent.Lost("router-2"));
  }

  @Test
  void closingLosesNothingThatWasWrittenEvenWithUnreadBytes() throws Exception {
    InetSocketAddress address = listen(sidecarPeers);
    try (RawPeer raw = new RawPeer()) {
      raw.connect(address);
      raw.sendHello("router-1", 1);
      sidecar.nextMessage();
      raw.read();
      for (int position = 0; position < 1_000; position++) {
        sidecarPeers.send("router-1", new PeerMessage.Tokens(ATTEMPT, position, 1, "x"), 0);
        raw.send(EnvelopeCodec.encode(new Envelope("router-1", 1, 0, CANCEL)));
      }
      Thread closing = new Thread(sidecarPeers::close);
      closing.start();
      for (int position = 0; position < 1_000; position++) {
        raw.send(EnvelopeCodec.encode(new Envelope("router-1", 1, 0, CANCEL)));
        assertThat(raw.read().message())
            .isEqualTo(new PeerMessage.Tokens(ATTEMPT, position, 1, "x"));
      }
      raw.closeConnection();
      closing.join();
    }
  }

  @Test
  void aPromptThatIsTooLargeIsRefusedAndTheConnectionGoesOn() throws Exception {
    connectRouterToSidecar();
    routerPeers.send("engine-1", new PeerMessage.Submit(ATTEMPT, "x".repeat(1 << 20), ""), 0);
    routerPeers.send("engine-1", CANCEL, 0);

    assertThat(sidecar.nextMessage().message()).isEqualTo(HELLO);
    assertThat(sidecar.nextMessage().message()).isEqualTo(CANCEL);
    assertThat(router.nextMessage().message()).isEqualTo(HELLO);
    PeerMessage.Failed failed = (PeerMessage.Failed) router.nextMessage().message();
    assertThat(failed.attempt()).isEqualTo(ATTEMPT);
    assertThat(failed.outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  /** An invalid action of a raw peer. */
  private interface Fault {
    void accept(RawPeer peer) throws Exception;
  }

  private void connectRouterToSidecar() {
    setAddress("engine-1", Addresses.text(listen(sidecarPeers)));
  }

  private void setAddress(String name, String address) {
    routerPeers.peersChanged(List.of(instance(name, address)));
  }

  private static Instance instance(String name, String address) {
    return new Instance(name, InstanceRole.MODEL_ENGINE, address, "a", "r", "", false);
  }

  private static InetSocketAddress listen(PeerNetwork network) {
    return network.listen(Addresses.parse("127.0.0.1:0")).get();
  }

  private PeerNetwork network(
      String name, long incarnation, PeerSettings settings, PeerListener listener) {
    PeerIdentity identity = new PeerIdentity(name, incarnation, InstanceRole.ROUTER, "a");
    return new PeerNetwork(identity, settings, loops.internal(), listener, metrics);
  }

  private static PeerSettings settings() {
    return withConnectTimeout(Duration.ofSeconds(20));
  }

  private static PeerSettings shortConnectTimeout() {
    return withConnectTimeout(Duration.ofMillis(100));
  }

  private static PeerSettings withConnectTimeout(Duration connectTimeout) {
    return new PeerSettings(
        connectTimeout,
        Duration.ofSeconds(30),
        Duration.ofSeconds(60),
        Duration.ofSeconds(20),
        Duration.ofSeconds(20),
        1 << 20,
        256 << 10,
        100);
  }

  private static PeerSettings shortIdleTimeout() {
    return new PeerSettings(
        Duration.ofSeconds(10),
        Duration.ofMillis(100),
        Duration.ofMillis(50),
        Duration.ofSeconds(20),
        Duration.ofSeconds(20),
        1 << 20,
        256 << 10,
        100);
  }
}
