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
 * Encodes envelopes as short frames on a connection and decodes short and full frames.
 *
 * <p>A short frame omits what both ends know from their Hello messages: the sender with its
 * incarnation, and the common prefix of the identifiers of the router's requests. A frame that
 * contains a sender is decoded as a full frame, so peers that write only full frames are supported.
 *
 * <p>Invariant: decoding a frame that the other end encoded gives an equal envelope, and invalid
 * bytes give an error without an exception. Immutable and thread-safe.
 */
public final class ConnectionCodec {
  private static final Pattern HEX_DIGEST = Pattern.compile("[0-9a-f]{32}");
  private static final String ABBREVIATION_MARK = "-";
  private static final OneofDescriptor MESSAGE_ONEOF =
      EnvelopeFrame.getDescriptor().getOneofs().get(0);

  private final Envelope ownHello;
  private final Envelope peerHello;
  private final boolean writesShortFrames;
  private final String requestPrefix;

  /**
   * Creates the codec of a connection on which both ends have sent Hello.
   *
   * @param ownHello envelope of this end's Hello
   * @param peerHello envelope of the other end's Hello
   * @param writesShortFrames whether the other end can read short frames
   */
  public ConnectionCodec(Envelope ownHello, Envelope peerHello, boolean writesShortFrames) {
    this.ownHello = ownHello;
    this.peerHello = peerHello;
    this.writesShortFrames = writesShortFrames;
    this.requestPrefix = requestPrefix(ownHello, peerHello);
  }

  /** Returns the frame of an envelope of this end, without its length prefix. */
  public byte[] encode(Envelope envelope) {
    boolean mayBeShort = writesShortFrames && isSentBy(ownHello, envelope);
    if (mayBeShort && envelope.message() instanceof Submit submit && hasRequestPrefix(submit)) {
      return encodeShortSubmit(envelope, submit);
    }
    EnvelopeFrame.Builder frame = EnvelopeCodec.toFrame(envelope);
    if (mayBeShort && !hasAmbiguousRequestId(frame)) {
      shorten(frame);
    }
    return frame.build().toByteArray();
  }

  /**
   * Decodes a frame of the other end.
   *
   * @param bytes the frame, without its length prefix
   */
  public Either<PeerProtocolError, Envelope> decode(ByteBuffer bytes) {
    try {
      EnvelopeFrame.Builder frame = EnvelopeFrame.parseFrom(bytes).toBuilder();
      if (frame.getSender().isEmpty()) {
        expand(frame);
      }
      return EnvelopeCodec.read(frame.build());
    } catch (InvalidProtocolBufferException e) {
      return Either.left(new PeerProtocolError.MalformedFrame(String.valueOf(e.getMessage())));
    }
  }

  private boolean hasRequestPrefix(Submit submit) {
    String id = submit.attempt().request().value();
    return !requestPrefix.isEmpty()
        && id.startsWith(requestPrefix)
        && !id.startsWith(ABBREVIATION_MARK);
  }

  /**
   * Abbreviates the request identifier before the frame is built. Changing it in a built frame
   * would decode the frame's strings, which is slow for a long prompt.
   */
  private byte[] encodeShortSubmit(Envelope envelope, Submit submit) {
    String id = submit.attempt().request().value();
    RequestId request = new RequestId(ABBREVIATION_MARK + id.substring(requestPrefix.length()));
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
    mapRequestId(
        frame,
        id ->
            !requestPrefix.isEmpty() && id.startsWith(requestPrefix)
                ? ABBREVIATION_MARK + id.substring(requestPrefix.length())
                : id);
    if (frame.hasOffer()) {
      shortenOffer(frame.getOfferBuilder());
    }
  }

  private void expand(EnvelopeFrame.Builder frame) {
    frame.setSender(peerHello.sender()).setSenderIncarnation(peerHello.senderIncarnation());
    mapRequestId(
        frame,
        id ->
            id.startsWith(ABBREVIATION_MARK)
                ? requestPrefix + id.substring(ABBREVIATION_MARK.length())
                : id);
    if (frame.hasOffer()) {
      expandOffer(frame.getOfferBuilder());
    }
  }

  private static void shortenOffer(OfferFrame.Builder offer) {
    if (offer.getPriority().equals(PriorityClass.ORDINARY.name())) {
      offer.clearPriority();
    }
    if (HEX_DIGEST.matcher(offer.getFingerprint()).matches()) {
      byte[] digest = HexFormat.of().parseHex(offer.getFingerprint());
      offer.setDigest(ByteString.copyFrom(digest)).clearFingerprint();
    }
  }

  private static void expandOffer(OfferFrame.Builder offer) {
    if (offer.getPriority().isEmpty()) {
      offer.setPriority(PriorityClass.ORDINARY.name());
    }
    if (!offer.getDigest().isEmpty()) {
      String digest = HexFormat.of().formatHex(offer.getDigest().toByteArray());
      offer.setFingerprint(digest).clearDigest();
    }
  }

  /** Applies a function to the request identifier of the message's attempt, if it has one. */
  private static void mapRequestId(EnvelopeFrame.Builder frame, UnaryOperator<String> change) {
    FieldDescriptor messageField = frame.getOneofFieldDescriptor(MESSAGE_ONEOF);
    if (messageField == null) {
      return;
    }
    Message message = (Message) frame.getField(messageField);
    FieldDescriptor field = message.getDescriptorForType().findFieldByName("attempt");
    if (field != null && message.hasField(field)) {
      AttemptFrame attempt = (AttemptFrame) message.getField(field);
      AttemptFrame changed =
          attempt.toBuilder().setRequest(change.apply(attempt.getRequest())).build();
      frame.setField(messageField, message.toBuilder().setField(field, changed).build());
    }
  }

  /** Returns whether a full request identifier would be decoded as an abbreviated one. */
  private static boolean hasAmbiguousRequestId(EnvelopeFrame.Builder frame) {
    FieldDescriptor messageField = frame.getOneofFieldDescriptor(MESSAGE_ONEOF);
    if (messageField == null) {
      return false;
    }
    Message message = (Message) frame.getField(messageField);
    FieldDescriptor field = message.getDescriptorForType().findFieldByName("attempt");
    return field != null
        && message.hasField(field)
        && ((AttemptFrame) message.getField(field)).getRequest().startsWith(ABBREVIATION_MARK);
  }

  private static boolean isSentBy(Envelope hello, Envelope envelope) {
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
