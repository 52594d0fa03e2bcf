package org.shallothook.protocol.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Descriptors.OneofDescriptor;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.function.UnaryOperator;
import java.util.regex.Pattern;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.message.PeerMessage.Submit;
import org.shallothook.protocol.generated.AttemptFrame;
import org.shallothook.protocol.generated.EnvelopeFrame;
import org.shallothook.protocol.generated.OfferFrame;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.RequestId;

/**
 * Maps envelopes to short frames on a connection, and back.
 *
 * <p>A short frame leaves out what both ends know from their Hello: the sender with its
 * incarnation, and the beginning of the identifiers of the router's requests. A frame with a sender
 * is read as it stands, so an end that writes whole frames is understood too.
 *
 * <p>Invariant: decoding what the other end encoded gives an equal envelope; no bytes make decoding
 * throw. Immutable and thread-safe.
 */
public final class ConnectionCodec {
  private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{32}");
  private static final String SHORT = "-";
  private static final OneofDescriptor MESSAGE = EnvelopeFrame.getDescriptor().getOneofs().get(0);

  private final Envelope ownHello;
  private final Envelope peerHello;
  private final boolean writesShortFrames;
  private final String requestPrefix;

  /**
   * Creates the codec of a connection on which both ends have said Hello.
   *
   * @param ownHello Hello of this end
   * @param peerHello Hello of the other end
   * @param writesShortFrames whether the other end reads short frames
   */
  public ConnectionCodec(Envelope ownHello, Envelope peerHello, boolean writesShortFrames) {
    this.ownHello = ownHello;
    this.peerHello = peerHello;
    this.writesShortFrames = writesShortFrames;
    this.requestPrefix = requestPrefix(ownHello, peerHello);
  }

  /** Returns the frame of an envelope of this end, without a length before it. */
  public byte[] encode(Envelope envelope) {
    boolean mayBeShort = writesShortFrames && isOf(ownHello, envelope);
    if (mayBeShort && envelope.message() instanceof Submit submit && hasPrefix(submit)) {
      return encodeShort(envelope, submit);
    }
    EnvelopeFrame.Builder frame = EnvelopeCodec.toFrame(envelope);
    if (mayBeShort && !hasShortRequest(frame)) {
      shorten(frame);
    }
    return frame.build().toByteArray();
  }

  /**
   * Reads a frame of the other end.
   *
   * @param bytes the frame, without a length before it
   */
  public Either<PeerProtocolError, Envelope> decode(ByteBuffer bytes) {
    try {
      EnvelopeFrame.Builder frame = EnvelopeFrame.parseFrom(bytes).toBuilder();
      if (frame.getSender().isEmpty()) {
        lengthen(frame);
      }
      return EnvelopeCodec.read(frame.build());
    } catch (InvalidProtocolBufferException e) {
      return Either.left(new PeerProtocolError.MalformedFrame(String.valueOf(e.getMessage())));
    }
  }

  private boolean hasPrefix(Submit submit) {
    String id = submit.attempt().request().value();
    return !requestPrefix.isEmpty() && id.startsWith(requestPrefix) && !id.startsWith(SHORT);
  }

  /**
   * Shortens the request before the frame is built, because changing a frame that is built decodes
   * its texts, and a prompt is long.
   */
  private byte[] encodeShort(Envelope envelope, Submit submit) {
    String id = submit.attempt().request().value();
    RequestId request = new RequestId(SHORT + id.substring(requestPrefix.length()));
    AttemptId attempt = new AttemptId(request, submit.attempt().number());
    Submit message = new Submit(attempt, submit.prompt(), submit.deliveredText());
    Envelope shortened =
        new Envelope(
            envelope.sender(),
            envelope.senderIncarnation(),
            envelope.configurationOffset(),
            message);
    return EnvelopeCodec.toFrame(shortened)
        .clearSender()
        .clearSenderIncarnation()
        .build()
        .toByteArray();
  }

  private void shorten(EnvelopeFrame.Builder frame) {
    frame.clearSender().clearSenderIncarnation();
    changeRequest(
        frame,
        id ->
            !requestPrefix.isEmpty() && id.startsWith(requestPrefix)
                ? SHORT + id.substring(requestPrefix.length())
                : id);
    if (frame.hasOffer()) {
      shortenOffer(frame.getOfferBuilder());
    }
  }

  private void lengthen(EnvelopeFrame.Builder frame) {
    frame.setSender(peerHello.sender()).setSenderIncarnation(peerHello.senderIncarnation());
    changeRequest(
        frame, id -> id.startsWith(SHORT) ? requestPrefix + id.substring(SHORT.length()) : id);
    if (frame.hasOffer()) {
      lengthenOffer(frame.getOfferBuilder());
    }
  }

  private static void shortenOffer(OfferFrame.Builder offer) {
    if (offer.getPriority().equals(PriorityClass.ORDINARY.name())) {
      offer.clearPriority();
    }
    if (DIGEST.matcher(offer.getFingerprint()).matches()) {
      byte[] digest = HexFormat.of().parseHex(offer.getFingerprint());
      offer.setDigest(ByteString.copyFrom(digest)).clearFingerprint();
    }
  }

  private static void lengthenOffer(OfferFrame.Builder offer) {
    if (offer.getPriority().isEmpty()) {
      offer.setPriority(PriorityClass.ORDINARY.name());
    }
    if (!offer.getDigest().isEmpty()) {
      String digest = HexFormat.of().formatHex(offer.getDigest().toByteArray());
      offer.setFingerprint(digest).clearDigest();
    }
  }

  /** Changes the request in the attempt that the message names, where it names one. */
  private static void changeRequest(EnvelopeFrame.Builder frame, UnaryOperator<String> change) {
    FieldDescriptor kind = frame.getOneofFieldDescriptor(MESSAGE);
    if (kind == null) {
      return;
    }
    Message message = (Message) frame.getField(kind);
    FieldDescriptor field = message.getDescriptorForType().findFieldByName("attempt");
    if (field != null && message.hasField(field)) {
      AttemptFrame attempt = (AttemptFrame) message.getField(field);
      AttemptFrame changed =
          attempt.toBuilder().setRequest(change.apply(attempt.getRequest())).build();
      frame.setField(kind, message.toBuilder().setField(field, changed).build());
    }
  }

  /** Returns whether the message names a request that would be taken for a short one. */
  private static boolean hasShortRequest(EnvelopeFrame.Builder frame) {
    FieldDescriptor kind = frame.getOneofFieldDescriptor(MESSAGE);
    if (kind == null) {
      return false;
    }
    Message message = (Message) frame.getField(kind);
    FieldDescriptor field = message.getDescriptorForType().findFieldByName("attempt");
    return field != null
        && message.hasField(field)
        && ((AttemptFrame) message.getField(field)).getRequest().startsWith(SHORT);
  }

  private static boolean isOf(Envelope hello, Envelope envelope) {
    return hello.sender().equals(envelope.sender())
        && hello.senderIncarnation() == envelope.senderIncarnation();
  }

  private static String requestPrefix(Envelope own, Envelope peer) {
    if (isRouter(own) == isRouter(peer)) {
      return "";
    }
    Envelope router = isRouter(own) ? own : peer;
    String first = RequestId.of(router.sender(), router.senderIncarnation(), 0).value();
    return first.substring(0, first.length() - 1);
  }

  private static boolean isRouter(Envelope envelope) {
    return envelope.message() instanceof PeerMessage.Hello hello
        && hello.role() == InstanceRole.ROUTER;
  }
}
