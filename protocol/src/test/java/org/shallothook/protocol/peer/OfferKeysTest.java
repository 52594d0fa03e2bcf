package org.shallothook.protocol.peer;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.Hint;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.protocol.generated.EnvelopeFrame;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.RequestId;

/** Checks the size of the keys in an offer and the decoding of their two encodings. */
final class OfferKeysTest {
  private static final int MAXIMUM_CONTROL_BYTES_PER_SECOND = 3_000;
  private static final double REQUESTS_PER_SECOND = 5.5;
  private static final int BLOCKS = 25;
  private static final long NOW_MICROS = 1_764_816_000_000_000L;
  private static final AttemptId ATTEMPT =
      new AttemptId(RequestId.of("router-123", NOW_MICROS / 1_000, 1_000_000), 1);

  @Test
  void offersAndRepliesOfLongPromptsFitTheControlBudget() {
    int bytes = encodedBytes(offer(abbreviatedKeys())) + encodedBytes(reply());

    assertThat(bytes * REQUESTS_PER_SECOND).isLessThan((double) MAXIMUM_CONTROL_BYTES_PER_SECOND);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void bothEncodingsSurviveTheRoundTrip(boolean isAbbreviated) {
    PeerMessage.Offer offer = offer(isAbbreviated ? abbreviatedKeys() : fullKeys());

    assertThat(EnvelopeCodec.decode(ByteBuffer.wrap(encode(offer))).get().message())
        .isEqualTo(offer);
  }

  @Test
  void bothEncodingsInOneOfferAreATypedError() throws Exception {
    EnvelopeFrame.Builder frame = EnvelopeFrame.parseFrom(encode(offer(fullKeys()))).toBuilder();
    frame.getOfferBuilder().setAbbreviatedKeys(ByteString.copyFrom(new byte[3]));

    assertThat(EnvelopeCodec.decode(ByteBuffer.wrap(frame.build().toByteArray())).getLeft())
        .isEqualTo(new PeerProtocolError.InvalidField("offer.keys", "whole and abbreviated keys"));
  }

  private static List<BlockKey> fullKeys() {
    Random random = new Random(1);
    return Stream.generate(() -> new BlockKey(random.nextLong(), random.nextLong()))
        .limit(BLOCKS)
        .toList();
  }

  private static List<BlockKey> abbreviatedKeys() {
    return fullKeys().stream().map(BlockKey::abbreviated).toList();
  }

  private static PeerMessage.Offer offer(List<BlockKey> keys) {
    return new PeerMessage.Offer(
        ATTEMPT,
        new CacheIdentity("saint-elena", ModelVersion.of("linen-assistant", "2026-11")),
        PriorityClass.ORDINARY,
        keys,
        100_000,
        400,
        NOW_MICROS,
        0,
        "0123456789abcdef0123456789abcdef",
        false,
        0);
  }

  private static PeerMessage reply() {
    return new PeerMessage.OfferReply(
        ATTEMPT, Optional.empty(), new Hint(20, 100_000, 2, 12), NOW_MICROS);
  }

  private static int encodedBytes(PeerMessage message) {
    return Integer.BYTES + encode(message).length;
  }

  private static byte[] encode(PeerMessage message) {
    return EnvelopeCodec.encode(new Envelope("router-123", NOW_MICROS / 1_000, 1_000, message));
  }
}
