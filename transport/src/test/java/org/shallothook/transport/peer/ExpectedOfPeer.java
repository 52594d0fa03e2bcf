package org.shallothook.transport.peer;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.protocol.peer.ConnectionCodec;
import org.shallothook.protocol.peer.EnvelopeCodec;
import org.shallothook.transport.peer.RecordingListener.Heard;

/**
 * What a listener has to hear of the bytes of one connection: all messages before the first frame
 * that may not stand where it does, then the loss. Not thread-safe.
 */
final class ExpectedOfPeer {
  private final Envelope ownHello;
  private final List<Heard> heard = new ArrayList<>();
  private Optional<Envelope> peerHello = Optional.empty();
  private boolean isRefused;

  private ExpectedOfPeer(Envelope ownHello) {
    this.ownHello = ownHello;
  }

  static ExpectedOfPeer of(byte[] bytes, Envelope ownHello, int maximumFrameBytes) {
    ExpectedOfPeer expected = new ExpectedOfPeer(ownHello);
    ByteBuffer left = ByteBuffer.wrap(bytes);
    while (!expected.isRefused && left.remaining() >= Integer.BYTES) {
      int length = left.getInt();
      if (length < 0 || length > maximumFrameBytes) {
        expected.isRefused = true;
      } else if (length > left.remaining()) {
        break;
      } else {
        expected.take(left.slice(left.position(), length));
        left.position(left.position() + length);
      }
    }
    expected.peerHello.ifPresent(hello -> expected.heard.add(new Heard.Lost(hello.sender())));
    return expected;
  }

  List<Heard> heard() {
    return heard;
  }

  boolean isRefused() {
    return isRefused;
  }

  private void take(ByteBuffer frame) {
    if (!frame.hasRemaining()) {
      return;
    }
    Optional<Envelope> envelope = decode(frame).filter(this::mayFollow);
    isRefused = envelope.isEmpty();
    envelope.ifPresent(
        accepted -> {
          peerHello = peerHello.or(() -> envelope);
          heard.add(new Heard.Message(accepted));
        });
  }

  private Optional<Envelope> decode(ByteBuffer frame) {
    return peerHello
        .map(hello -> new ConnectionCodec(ownHello, hello, true).decode(frame))
        .orElseGet(() -> EnvelopeCodec.decode(frame))
        .toJavaOptional();
  }

  private boolean mayFollow(Envelope envelope) {
    return peerHello
        .map(
            hello ->
                hello.sender().equals(envelope.sender())
                    && hello.senderIncarnation() == envelope.senderIncarnation())
        .orElse(envelope.message() instanceof PeerMessage.Hello);
  }
}
