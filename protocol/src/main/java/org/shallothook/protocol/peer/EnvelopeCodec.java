package org.shallothook.protocol.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.protocol.generated.EnvelopeFrame;

/**
 * Encodes envelopes as protobuf frames and decodes them.
 *
 * <pre>{@code
 * byte[] bytes = EnvelopeCodec.encode(envelope);
 * Either<PeerProtocolError, Envelope> read = EnvelopeCodec.decode(ByteBuffer.wrap(bytes));
 * }</pre>
 *
 * <p>Invariant: decoding an encoded envelope gives an equal envelope, and invalid bytes give an
 * error without an exception. Stateless and thread-safe.
 */
public final class EnvelopeCodec {
  private EnvelopeCodec() {}

  /** Returns the frame of an envelope, without its length prefix. */
  public static byte[] encode(Envelope envelope) {
    return toFrame(envelope).build().toByteArray();
  }

  /**
   * Decodes a frame.
   *
   * @param bytes the frame, without its length prefix
   */
  public static Either<PeerProtocolError, Envelope> decode(ByteBuffer bytes) {
    try {
      return read(EnvelopeFrame.parseFrom(bytes));
    } catch (InvalidProtocolBufferException e) {
      return Either.left(new PeerProtocolError.MalformedFrame(String.valueOf(e.getMessage())));
    }
  }

  /**
   * Returns whether the sender of a Hello frame can read short frames; see {@link ConnectionCodec}.
   */
  public static boolean readsShortFrames(ByteBuffer bytes) {
    try {
      return EnvelopeFrame.parseFrom(bytes).getReadsShortFrames();
    } catch (InvalidProtocolBufferException e) {
      return false;
    }
  }

  static EnvelopeFrame.Builder toFrame(Envelope envelope) {
    EnvelopeFrame.Builder frame =
        EnvelopeFrame.newBuilder()
            .setSender(envelope.sender())
            .setSenderIncarnation(envelope.senderIncarnation())
            .setConfigurationOffset(envelope.configurationOffset())
            .setReadsShortFrames(envelope.message() instanceof PeerMessage.Hello);
    MessageEncoder.encode(envelope.message(), frame);
    return frame;
  }

  /** Converts a parsed frame to an envelope. */
  static Either<PeerProtocolError, Envelope> read(EnvelopeFrame frame) {
    try {
      return toEnvelope(frame);
    } catch (InvalidFieldException e) {
      return Either.left(e.toError());
    }
  }

  private static Either<PeerProtocolError, Envelope> toEnvelope(EnvelopeFrame frame) {
    if (frame.getSender().isBlank()) {
      throw new InvalidFieldException("sender", frame.getSender());
    }
    return MessageDecoder.decode(frame)
        .<Either<PeerProtocolError, Envelope>>map(
            message ->
                Either.right(
                    new Envelope(
                        frame.getSender(),
                        frame.getSenderIncarnation(),
                        frame.getConfigurationOffset(),
                        message)))
        .orElseGet(() -> Either.left(new PeerProtocolError.UnknownMessage(frame.getSender())));
  }
}
