package org.shallothook.transport.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.protocol.peer.ConnectionCodec;
import org.shallothook.protocol.peer.EnvelopeCodec;
import org.shallothook.protocol.peer.PeerProtocolError;
import org.shallothook.transport.Channels;
import org.shallothook.transport.logging.LogComponent;

/**
 * One connection to a peer, opened by either side.
 *
 * <p>Sends Hello when the socket opens and is ready once the peer's Hello has arrived. Empty frames
 * are heartbeats.
 *
 * <p>Invariant: only Hello is written before the peer's Hello arrives; every later message has the
 * sender and incarnation of that Hello; nothing after a rejected frame is delivered. Used only on
 * the peer event loop.
 */
final class PeerConnection extends SimpleChannelInboundHandler<ByteBuf> {
  private static final Duration CONGESTION_PAUSE = Duration.ofMillis(5);

  private final PeerContext context;
  private final boolean isOutbound;
  private final Owner owner;
  private final OpenAttempts openAttempts = new OpenAttempts();
  private ChannelHandlerContext channel;
  private ScheduledFuture<?> helloTimeout;
  private Optional<Envelope> peerHello = Optional.empty();
  private ConnectionCodec codec;
  private boolean isClosedAsUnused;
  private boolean isClosing;
  private long lastMessageNanos = System.nanoTime();

  /** Receives the events of a connection. */
  interface Owner {
    /** The socket is open; no Hello has been exchanged yet. */
    default void openedSocket(PeerConnection connection) {}

    /** The peer's Hello has arrived. Returns false to close the connection. */
    boolean opened(PeerConnection connection, Envelope hello);

    /** A message after Hello has arrived. */
    void received(PeerConnection connection, Envelope envelope);

    /** The connection is closed. */
    void closed(PeerConnection connection);
  }

  PeerConnection(PeerContext context, boolean isOutbound, Owner owner) {
    this.context = context;
    this.isOutbound = isOutbound;
    this.owner = owner;
  }

  boolean isOutbound() {
    return isOutbound;
  }

  boolean isReady() {
    return peerHello.isPresent() && channel.channel().isActive();
  }

  /** Returns whether this side has closed the connection as idle. */
  boolean isClosedAsUnused() {
    return isClosedAsUnused;
  }

  Channel channel() {
    return channel.channel();
  }

  /** Returns the peer's Hello; present once it has arrived. */
  Optional<Envelope> peerHello() {
    return peerHello;
  }

  /**
   * Writes a message. Closes the connection if its write buffer is full. A message that exceeds the
   * frame limit is not written; for a submit or a call, the listener receives a failure as if the
   * peer had sent it.
   */
  void send(PeerMessage message, long configurationOffset) {
    if (!channel.channel().isWritable()) {
      context.counters().increment("peer.write-buffer-full");
      LogComponent.PEER.warn(
          "Closed the connection to '{}': its write buffer is full.", peerName());
      close();
      return;
    }
    byte[] frame = codec.encode(context.identity().envelope(message, configurationOffset));
    if (frame.length > context.settings().maximumFrameBytes()) {
      rejectOversized(message, frame.length);
      return;
    }
    lastMessageNanos = System.nanoTime();
    openAttempts.sent(message);
    write(frame);
  }

  /** Closes the connection immediately; frames that are still read from it are dropped. */
  void close() {
    isClosing = true;
    Channels.close(channel);
  }

  /** Closes the connection after pending writes have been flushed. */
  void closeAfterWrites() {
    isClosing = true;
    Channels.closeAfterWrites((SocketChannel) channel.channel());
  }

  @Override
  public void channelActive(ChannelHandlerContext opened) {
    channel = opened;
    helloTimeout =
        opened
            .executor()
            .schedule(
                this::closeWithoutHello,
                context.settings().connectTimeout().toMillis(),
                TimeUnit.MILLISECONDS);
    owner.openedSocket(this);
    write(EnvelopeCodec.encode(context.identity().hello(context.configurationOffset())));
  }

  @Override
  protected void channelRead0(ChannelHandlerContext received, ByteBuf frame) {
    if (!frame.isReadable()) {
      return;
    }
    if (isClosing) {
      context.counters().increment("peer.late-message");
      return;
    }
    if (peerHello.isPresent()) {
      codec.decode(frame.nioBuffer()).peekLeft(this::reject).peek(this::accept);
    } else {
      boolean readsShortFrames = EnvelopeCodec.readsShortFrames(frame.nioBuffer());
      EnvelopeCodec.decode(frame.nioBuffer())
          .peekLeft(this::reject)
          .peek(hello -> acceptHello(hello, readsShortFrames));
    }
    pauseWhenCongested();
  }

  @Override
  public void channelInactive(ChannelHandlerContext closed) {
    helloTimeout.cancel(false);
    owner.closed(this);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext idle, Object event) {
    // Until the peer's Hello arrives, only the connect timeout applies.
    if (event instanceof IdleStateEvent silence && peerHello.isPresent()) {
      if (silence.state() == IdleState.READER_IDLE) {
        if (channel.channel().config().isAutoRead()) {
          context.counters().increment("peer.silent");
          LogComponent.PEER.warn(
              "Closed the connection to '{}': nothing was received within the silence timeout.",
              peerName());
          close();
        }
      } else if (isUnused()) {
        context.counters().increment("peer.idle-closed");
        isClosedAsUnused = true;
        close();
      } else {
        Channels.writeAndFlush(channel, channel.alloc().buffer(Integer.BYTES).writeInt(0));
      }
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
    if (!isClosing) {
      context.counters().increment("peer.connection-failed");
      LogComponent.PEER.debug("Connection to '{}' failed: {}.", peerName(), cause.getMessage());
    }
    isClosing = true;
    Channels.close(failed);
  }

  private void accept(Envelope envelope) {
    lastMessageNanos = System.nanoTime();
    if (isFromPeer(envelope)) {
      openAttempts.received(envelope.message());
      owner.received(this, envelope);
    } else {
      context.counters().increment("peer.sender-changed");
      LogComponent.PEER.warn(
          "Closed the connection to '{}': it sent a message with the sender '{}' or with another"
              + " incarnation.",
          peerName(),
          envelope.sender());
      close();
    }
  }

  private void acceptHello(Envelope envelope, boolean readsShortFrames) {
    lastMessageNanos = System.nanoTime();
    helloTimeout.cancel(false);
    if (!(envelope.message() instanceof PeerMessage.Hello)) {
      context.counters().increment("peer.no-hello");
      LogComponent.PEER.warn(
          "Closed the connection to '{}': its first message was not Hello.", envelope.sender());
      close();
      return;
    }
    peerHello = Optional.of(envelope);
    Envelope ownHello = context.identity().hello(context.configurationOffset());
    codec = new ConnectionCodec(ownHello, envelope, readsShortFrames);
    if (!owner.opened(this, envelope)) {
      close();
    }
  }

  private boolean isFromPeer(Envelope envelope) {
    Envelope hello = peerHello.orElseThrow();
    return hello.sender().equals(envelope.sender())
        && hello.senderIncarnation() == envelope.senderIncarnation();
  }

  private void reject(PeerProtocolError error) {
    context.counters().increment("peer.malformed-frame");
    LogComponent.PEER.warn("Rejected a frame from '{}': {}.", peerName(), error.message());
    close();
  }

  private void closeWithoutHello() {
    context.counters().increment("peer.no-hello");
    close();
  }

  private boolean isUnused() {
    long idleNanos = System.nanoTime() - lastMessageNanos;
    return isOutbound
        && openAttempts.isEmpty()
        && idleNanos >= context.settings().idleTimeout().toNanos();
  }

  private void pauseWhenCongested() {
    if (context.listener().isCongested() && channel.channel().config().isAutoRead()) {
      context.counters().increment("peer.reading-paused");
      channel.channel().config().setAutoRead(false);
      scheduleResume();
    }
  }

  private void scheduleResume() {
    Channels.after(channel.executor(), CONGESTION_PAUSE, this::resume);
  }

  private void resume() {
    if (context.listener().isCongested()) {
      scheduleResume();
    } else {
      channel.channel().config().setAutoRead(true);
    }
  }

  private void rejectOversized(PeerMessage message, int bytes) {
    context.counters().increment("peer.frame-too-large");
    LogComponent.PEER.warn(
        "Dropped a message of {} bytes to '{}': it exceeds the frame limit.", bytes, peerName());
    OversizedMessage.refusal(message)
        .map(this::asFromPeer)
        .ifPresent(context.listener()::messageReceived);
  }

  private Envelope asFromPeer(PeerMessage message) {
    Envelope hello = peerHello.orElseThrow();
    return new Envelope(
        hello.sender(), hello.senderIncarnation(), hello.configurationOffset(), message);
  }

  private void write(byte[] frame) {
    Channels.write(channel, channel.alloc().buffer(Integer.BYTES).writeInt(frame.length));
    Channels.writeAndFlush(channel, Unpooled.wrappedBuffer(frame));
  }

  private String peerName() {
    return peerHello
        .map(Envelope::sender)
        .orElse(String.valueOf(channel.channel().remoteAddress()));
  }
}
