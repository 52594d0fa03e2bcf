package org.shallothook.transport.peer;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.protocol.peer.ConnectionCodec;
import org.shallothook.protocol.peer.EnvelopeCodec;
import org.shallothook.transport.peer.RecordingListener.PeerEvent;

/**
 * Events that a listener must receive for the bytes of one connection: all messages before the
 * first invalid frame, then the loss of the connection. Not thread-safe.
 */
final class ExpectedPeerEvents {
  private final Envelope ownHello;
  private final List<PeerEvent> events = new ArrayList<>();
  private Optional<Envelope> peerHello = Optional.empty();
  private boolean isRefused;

  private ExpectedPeerEvents(Envelope ownHello) {
    this.ownHello = ownHello;
  }

  static ExpectedPeerEvents of(byte[] bytes, Envelope ownHello, int maximumFrameBytes) {
    ExpectedPeerEvents expected = new ExpectedPeerEvents(ownHello);
    ByteBuffer left = ByteBuffer.wrap(bytes);
    while (!expected.isRefused && left.remaining() >= Integer.BYTES) {
      int length = left.getInt();
      if (length < 0 || length > maximumFrameBytes) {
        expected.isRefused = true;
      } else if (length > left.remaining()) {
        break;
      } else {
        expected.accept(left.slice(left.position(), length));
        left.position(left.position() + length);
      }
    }
    expected.peerHello.ifPresent(hello -> expected.events.add(new PeerEvent.Lost(hello.sender())));
    return expected;
  }

  List<PeerEvent> events() {
    return events;
  }

  boolean isRefused() {
    return isRefused;
  }

  private void accept(ByteBuffer frame) {
    if (!frame.hasRemaining()) {
      return;
    }
    Optional<Envelope> envelope = decode(frame).filter(this::isAllowed);
    isRefused = envelope.isEmpty();
    envelope.ifPresent(
        accepted -> {
          peerHello = peerHello.or(() -> envelope);
          events.add(new PeerEvent.Message(accepted));
        });
  }

  private Optional<Envelope> decode(ByteBuffer frame) {
    return peerHello
        .map(hello -> new ConnectionCodec(ownHello, hello, true).decode(frame))
        .orElseGet(() -> EnvelopeCodec.decode(frame))
        .toJavaOptional();
  }

  private boolean isAllowed(Envelope envelope) {
    return peerHello
        .map(
            hello ->
                hello.sender().equals(envelope.sender())
                    && hello.senderIncarnation() == envelope.senderIncarnation())
        .orElse(envelope.message() instanceof PeerMessage.Hello);
  }
}
