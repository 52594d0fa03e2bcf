package org.shallothook.protocol.peer;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import java.util.Arrays;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.RequestId;

/** Short frames contain the same information as full frames, and every connection reads both. */
final class ConnectionCodecTest {
  private static final long ROUTER_INCARNATION = 1_764_816_000_000L;
  private static final long ENGINE_INCARNATION = 1_764_816_111_111L;
  private static final Envelope ROUTER = hello("router-1", ROUTER_INCARNATION, InstanceRole.ROUTER);
  private static final Envelope ENGINE =
      hello("engine-1", ENGINE_INCARNATION, InstanceRole.MODEL_ENGINE);
  private static final Envelope OTHER_ROUTER = hello("router-2", 7, InstanceRole.ROUTER);

  @Property(seed = "1", tries = 3_000)
  void everyMessageSurvivesTheRoundTrip(@ForAll("messages") PeerMessage message) {
    assertRoundTrips(ROUTER, ENGINE, message);
    assertRoundTrips(ENGINE, ROUTER, message);
    assertRoundTrips(ROUTER, OTHER_ROUTER, message);
  }

  @Property(seed = "2", tries = 3_000)
  void noBytesMakeDecodingThrow(@ForAll byte[] bytes) {
    assertThat(new ConnectionCodec(ROUTER, ENGINE, true).decode(ByteBuffer.wrap(bytes)))
        .isNotNull();
  }

  @Property(seed = "3", tries = 2_000)
  void noTruncationMakesDecodingThrow(@ForAll("messages") PeerMessage message, @ForAll int index) {
    byte[] bytes = new ConnectionCodec(ROUTER, ENGINE, true).encode(envelope(ROUTER, message));
    byte[] truncated = Arrays.copyOf(bytes, Math.floorMod(index, bytes.length));

    assertThat(new ConnectionCodec(ENGINE, ROUTER, true).decode(ByteBuffer.wrap(truncated)))
        .isNotNull();
  }

  @ParameterizedTest
  @ValueSource(strings = {"router-1-19ae0d8a400-17", "router-2-7-17", "-17", "-", "17"})
  void requestIdentifiersOfAnyRouterSurviveTheRoundTrip(String request) {
    PeerMessage cancel = new PeerMessage.Cancel(new AttemptId(new RequestId(request), 1));

    assertRoundTrips(ROUTER, ENGINE, cancel);
    assertRoundTrips(ENGINE, ROUTER, cancel);
    assertRoundTrips(ROUTER, OTHER_ROUTER, cancel);
  }

  @ParameterizedTest
  @ValueSource(strings = {"router-1-19ae0d8a400-17", "router-2-7-17", "-17", "-", "17"})
  void promptsAndRequestIdentifiersSurviveTheRoundTrip(String request) {
    AttemptId attempt = new AttemptId(new RequestId(request), 1);
    PeerMessage submit = new PeerMessage.Submit(attempt, "altar țesut \ud834\udd1e", "påle");

    assertRoundTrips(ROUTER, ENGINE, submit);
    assertRoundTrips(ENGINE, ROUTER, submit);
    assertRoundTrips(ROUTER, OTHER_ROUTER, submit);
  }

  @Test
  void anUnpairedSurrogateIsReplaced() {
    RequestId request = RequestId.of("router-1", ROUTER_INCARNATION, 17);
    PeerMessage submit = new PeerMessage.Submit(new AttemptId(request, 1), "a\ud834b", "");
    byte[] frame = new ConnectionCodec(ROUTER, ENGINE, true).encode(envelope(ROUTER, submit));
    Envelope read = new ConnectionCodec(ENGINE, ROUTER, true).decode(ByteBuffer.wrap(frame)).get();

    assertThat(read.message())
        .isEqualTo(new PeerMessage.Submit(new AttemptId(request, 1), "a?b", ""));
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void shortFramesOmitWhatHelloContained(boolean readsShortFrames) {
    RequestId request = RequestId.of("router-1", ROUTER_INCARNATION, 17);
    Envelope cancel = envelope(ROUTER, new PeerMessage.Cancel(new AttemptId(request, 1)));
    int omittedBytes =
        "router-1".length() + "router-1".length() + Long.toHexString(ROUTER_INCARNATION).length();
    int bytes = new ConnectionCodec(ROUTER, ENGINE, readsShortFrames).encode(cancel).length;

    int fullBytes = EnvelopeCodec.encode(cancel).length;
    assertThat(bytes).isAtMost(readsShortFrames ? fullBytes - omittedBytes : fullBytes);
    assertThat(bytes).isAtLeast(readsShortFrames ? 1 : fullBytes);
  }

  @Test
  void fullFramesOfAnOlderProcessAreRead() {
    Envelope cancel =
        envelope(ROUTER, new PeerMessage.Cancel(new AttemptId(new RequestId("router-1-x-17"), 1)));
    ByteBuffer fullFrame = ByteBuffer.wrap(EnvelopeCodec.encode(cancel));

    assertThat(new ConnectionCodec(ENGINE, ROUTER, true).decode(fullFrame).get()).isEqualTo(cancel);
  }

  @Test
  void helloDeclaresThatShortFramesAreRead() {
    byte[] other = EnvelopeCodec.encode(envelope(ROUTER, new PeerMessage.ConfigurationRequest(1)));

    assertThat(EnvelopeCodec.readsShortFrames(ByteBuffer.wrap(EnvelopeCodec.encode(ROUTER))))
        .isTrue();
    assertThat(EnvelopeCodec.readsShortFrames(ByteBuffer.wrap(other))).isFalse();
  }

  @Provide
  Arbitrary<PeerMessage> messages() {
    Arbitrary<Object> messages =
        Arbitraries.of(PeerMessage.class.getPermittedSubclasses()).flatMap(RecordArbitraries::of);
    return messages.map(PeerMessage.class::cast);
  }

  private static void assertRoundTrips(Envelope sender, Envelope receiver, PeerMessage message) {
    Envelope envelope = envelope(sender, message);
    byte[] frame = new ConnectionCodec(sender, receiver, true).encode(envelope);

    assertThat(new ConnectionCodec(receiver, sender, true).decode(ByteBuffer.wrap(frame)).get())
        .isEqualTo(envelope);
  }

  private static Envelope hello(String name, long incarnation, InstanceRole role) {
    return new Envelope(name, incarnation, 3, new PeerMessage.Hello(role, "domain-a"));
  }

  private static Envelope envelope(Envelope hello, PeerMessage message) {
    return new Envelope(hello.sender(), hello.senderIncarnation(), 1_000, message);
  }
}
