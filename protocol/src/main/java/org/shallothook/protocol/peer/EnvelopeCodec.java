package org.shallothook.protocol.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.protocol.generated.EnvelopeFrame;

/**
 * Maps envelopes to the bytes of protobuf frames and back.
 *
 * <pre>{@code
 * byte[] bytes = EnvelopeCodec.encode(envelope);
 * Either<PeerProtocolError, Envelope> read = EnvelopeCodec.decode(ByteBuffer.wrap(bytes));
 * }</pre>
 *
 * <p>Invariant: decoding an encoded envelope gives an equal envelope; no bytes make decoding throw.
 * Stateless and thread-safe.
 */
public final class EnvelopeCodec {
  private EnvelopeCodec() {}

  /** Returns the frame of an envelope, without a length before it. */
  public static byte[] encode(Envelope envelope) {
    return toFrame(envelope).build().toByteArray();
  }

  /**
   * Reads a frame.
   *
   * @param bytes the frame, without a length before it
   */
  public static Either<PeerProtocolError, Envelope> decode(ByteBuffer bytes) {
    try {
      return read(EnvelopeFrame.parseFrom(bytes));
    } catch (InvalidProtocolBufferException e) {
      return Either.left(new PeerProtocolError.MalformedFrame(String.valueOf(e.getMessage())));
    }
  }

  /**
   * Returns whether the sender of a first frame reads short frames, see {@link ConnectionCodec}.
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

  /** Reads a frame that is parsed already. */
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
