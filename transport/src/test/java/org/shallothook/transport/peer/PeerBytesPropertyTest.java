package org.shallothook.transport.peer;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.protocol.peer.EnvelopeCodec;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.RequestId;
import org.shallothook.transport.Addresses;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.metrics.TransportMetrics;
import org.shallothook.transport.peer.RecordingListener.PeerEvent;

/** Whatever bytes one peer sends, its connection alone ends by them. */
final class PeerBytesPropertyTest {
  private static final String GOOD_PEER = "router-2";
  private static final AttemptId ATTEMPT = new AttemptId(new RequestId("r-1"), 1);
  private static final List<String> REFUSALS =
      List.of(
          "peer.malformed-frame", "peer.no-hello", "peer.sender-changed", "peer.connection-failed");

  private EventLoops loops;
  private TransportMetrics metrics;
  private RecordingListener listener;
  private PeerNetwork network;
  private InetSocketAddress address;
  private RawPeer goodPeer;
  private int position;

  @BeforeProperty
  void start() throws Exception {
    loops = EventLoops.create(1);
    metrics = new TransportMetrics();
    listener = new RecordingListener();
    PeerIdentity identity = new PeerIdentity("engine-1", 1, InstanceRole.MODEL_ENGINE, "a");
    network = new PeerNetwork(identity, PeerSettings.DEFAULT, loops.internal(), listener, metrics);
    address = network.listen(Addresses.parse("127.0.0.1:0")).get();
    goodPeer = new RawPeer();
    goodPeer.connect(address);
    goodPeer.sendHello(GOOD_PEER, 1);
    listener.nextMessage();
    goodPeer.read();
  }

  @AfterProperty
  void close() throws Exception {
    goodPeer.close();
    loops.close();
  }

  @Property(seed = "71", tries = 1_500)
  void nothingIsDeliveredAfterTheFirstBadFrameAndOtherConnectionsGoOn(@ForAll("bytes") byte[] bytes)
      throws Exception {
    ExpectedPeerEvents expected =
        ExpectedPeerEvents.of(
            bytes,
            new Envelope("engine-1", 1, 0, new PeerMessage.Hello(InstanceRole.MODEL_ENGINE, "a")),
            PeerSettings.DEFAULT.maximumFrameBytes());
    long refusedBefore = refused();
    try (RawPeer broken = new RawPeer()) {
      broken.connect(address);
      broken.sendLast(bytes);
      broken.readToEnd();
    }
    // The close event is a separate task on the event loop, queued after the socket has closed.
    loops.internal().submit(() -> {}).sync();
    loops.internal().submit(() -> {}).sync();

    assertThat(listener.takeAll()).isEqualTo(expected.events());
    assertThat(refused() - refusedBefore).isEqualTo(expected.isRefused() ? 1 : 0);
    assertGoodPeerGoesOn();
  }

  @Provide
  Arbitrary<byte[]> bytes() {
    return PeerByteStreams.any();
  }

  private void assertGoodPeerGoesOn() throws Exception {
    position++;
    Envelope consumed = new Envelope(GOOD_PEER, 1, 0, new PeerMessage.Consumed(ATTEMPT, position));
    goodPeer.send(EnvelopeCodec.encode(consumed));
    assertThat(listener.next()).isEqualTo(new PeerEvent.Message(consumed));
    PeerMessage tokens = new PeerMessage.Tokens(ATTEMPT, position, 1, "x");
    network.send(GOOD_PEER, tokens, 0);
    assertThat(goodPeer.read().message()).isEqualTo(tokens);
  }

  private long refused() {
    return REFUSALS.stream().mapToLong(metrics::count).sum();
  }
}
