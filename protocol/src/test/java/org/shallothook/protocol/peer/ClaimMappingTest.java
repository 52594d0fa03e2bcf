package org.shallothook.protocol.peer;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.shallothook.coordination.message.ClaimVerdict;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.booking.ServiceOutcome;

final class ClaimMappingTest {
  private static final ServiceOutcome OUTCOME = ServiceOutcome.of(200, "text/plain", "Fru Öst");
  private static final ServiceOutcome OUTCOME_WITHOUT_BODY =
      new ServiceOutcome(500, "", Optional.empty());

  static List<PeerMessage> messages() {
    return List.of(
        new PeerMessage.ClaimRequest("a|b|c", "d1", "s/1/2", Optional.of(17L), 42),
        new PeerMessage.ClaimRequest("a|b|c", "d1", "s/1/2", Optional.empty(), 42),
        new PeerMessage.ClaimAnswer("s/1/2", ClaimVerdict.GRANTED, 9, Optional.empty()),
        new PeerMessage.ClaimAnswer("s/1/2", ClaimVerdict.FINISHED, 9, Optional.of(OUTCOME)),
        new PeerMessage.ClaimEnded("a|b|c", "s/1/2", Optional.of(OUTCOME_WITHOUT_BODY)),
        new PeerMessage.ClaimEnded("a|b|c", "s/1/2", Optional.empty()),
        new PeerMessage.ClaimEndRecorded("s/1/2"));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void claimMessagesSurviveTheRoundTrip(PeerMessage message) {
    Envelope envelope = new Envelope("booking-1", 7, 3, message);
    ByteBuffer frame = ByteBuffer.wrap(EnvelopeCodec.encode(envelope));
    assertThat(EnvelopeCodec.decode(frame).get()).isEqualTo(envelope);
  }
}
