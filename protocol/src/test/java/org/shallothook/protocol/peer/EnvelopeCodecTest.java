package org.shallothook.protocol.peer;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.Arrays;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.protocol.generated.AttemptFrame;
import org.shallothook.protocol.generated.EnvelopeFrame;
import org.shallothook.protocol.generated.FailedFrame;
import org.shallothook.protocol.generated.OfferReplyFrame;

final class EnvelopeCodecTest {

  @Property(seed = "1", tries = 3_000)
  void everyMessageSurvivesTheRoundTrip(@ForAll("envelopes") Envelope envelope) {
    Either<PeerProtocolError, Envelope> read =
        EnvelopeCodec.decode(ByteBuffer.wrap(EnvelopeCodec.encode(envelope)));

    assertThat(read).isEqualTo(Either.right(envelope));
  }

  @Property(seed = "2", tries = 3_000)
  void noBytesMakeDecodingThrow(@ForAll byte[] bytes) {
    assertThat(EnvelopeCodec.decode(ByteBuffer.wrap(bytes))).isNotNull();
  }

  @Property(seed = "3", tries = 3_000)
  void noChangedByteMakesDecodingThrow(
      @ForAll("envelopes") Envelope envelope, @ForAll int index, @ForAll byte value) {
    byte[] bytes = EnvelopeCodec.encode(envelope);
    bytes[Math.floorMod(index, bytes.length)] = value;

    assertThat(EnvelopeCodec.decode(ByteBuffer.wrap(bytes))).isNotNull();
  }

  @Property(seed = "4", tries = 1_000)
  void noTruncationMakesDecodingThrow(@ForAll("envelopes") Envelope envelope, @ForAll int index) {
    byte[] bytes = EnvelopeCodec.encode(envelope);
    byte[] truncated = Arrays.copyOf(bytes, Math.floorMod(index, bytes.length));

    assertThat(EnvelopeCodec.decode(ByteBuffer.wrap(truncated))).isNotNull();
  }

  @Test
  void aFrameWithoutAMessageIsATypedError() {
    EnvelopeFrame frame = EnvelopeFrame.newBuilder().setSender("router-1").build();

    assertThat(decode(frame).getLeft()).isEqualTo(new PeerProtocolError.UnknownMessage("router-1"));
  }

  @Test
  void anUnknownReasonIsATypedErrorThatNamesTheField() {
    EnvelopeFrame frame =
        EnvelopeFrame.newBuilder()
            .setSender("engine-1")
            .setFailed(FailedFrame.newBuilder().setAttempt(attempt()).setReason("NEWER_THAN_THIS"))
            .build();

    assertThat(decode(frame).getLeft())
        .isEqualTo(new PeerProtocolError.InvalidField("failed.reason", "NEWER_THAN_THIS"));
  }

  @Test
  void aMessageWithoutItsAttemptIsATypedError() {
    EnvelopeFrame frame =
        EnvelopeFrame.newBuilder()
            .setSender("engine-1")
            .setOfferReply(OfferReplyFrame.getDefaultInstance())
            .build();

    assertThat(decode(frame).getLeft())
        .isEqualTo(new PeerProtocolError.InvalidField("attempt.request", ""));
  }

  @Provide
  Arbitrary<Envelope> envelopes() {
    Arbitrary<Object> messages =
        Arbitraries.of(PeerMessage.class.getPermittedSubclasses()).flatMap(RecordArbitraries::of);
    Arbitrary<Long> numbers = Arbitraries.longs().greaterOrEqual(0);
    return Combinators.combine(messages, numbers, numbers)
        .as(
            (message, incarnation, offset) ->
                new Envelope("router-1", incarnation, offset, (PeerMessage) message));
  }

  private static AttemptFrame attempt() {
    return AttemptFrame.newBuilder().setRequest("r-1").setNumber(1).build();
  }

  private static Either<PeerProtocolError, Envelope> decode(EnvelopeFrame frame) {
    return EnvelopeCodec.decode(ByteBuffer.wrap(frame.toByteArray()));
  }
}
