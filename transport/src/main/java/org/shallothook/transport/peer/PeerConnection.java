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
 * <p>Says Hello as soon as it is open and is ready once the peer has said Hello. Frames without
 * bytes are heartbeats.
 *
 * <p>Invariant: nothing but Hello is written before the peer's Hello; every message after it names
 * the same sender and incarnation; nothing that follows a rejected frame is passed on. Used on the
 * loop of the peers alone.
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
  private boolean isEnding;
  private long lastMessageNanos = System.nanoTime();

  /** Takes what happens on the connection. */
  interface Owner {
    /** The socket is open; nobody has said Hello yet. */
    default void openedSocket(PeerConnection connection) {}

    /** The peer has said who it is. Returns whether the connection may go on. */
    boolean opened(PeerConnection connection, Envelope hello);

    /** A message after the first. */
    void received(PeerConnection connection, Envelope envelope);

    /** The connection has ended. */
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

  /** Returns whether this side has closed the connection because nothing needed it. */
  boolean isClosedAsUnused() {
    return isClosedAsUnused;
  }

  Channel channel() {
    return channel.channel();
  }

  /** Returns the peer's first message; present once the connection is ready. */
  Optional<Envelope> peerHello() {
    return peerHello;
  }

  /**
   * Writes a message. Closes the connection where the peer does not keep up. A message that is too
   * large is not written; the listener hears of it as if the peer had refused it.
   */
  void send(PeerMessage message, long configurationOffset) {
    if (!channel.channel().isWritable()) {
      context.counters().increment("peer.write-buffer-full");
      LogComponent.PEER.warn("'{}' does not read; its connection is closed.", peerName());
      close();
      return;
    }
    byte[] frame = codec.encode(context.identity().envelope(message, configurationOffset));
    if (frame.length > context.settings().maximumFrameBytes()) {
      refuseTooLarge(message, frame.length);
      return;
    }
    lastMessageNanos = System.nanoTime();
    openAttempts.sent(message);
    write(frame);
  }

  /** Closes the connection now; drops what was read from it already. */
  void close() {
    isEnding = true;
    Channels.close(channel);
  }

  /** Closes the connection once everything written has left. */
  void closeAfterWrites() {
    isEnding = true;
    Channels.closeAfterWrites((SocketChannel) channel.channel());
  }

  @Override
  public void channelActive(ChannelHandlerContext opened) {
    channel = opened;
    helloTimeout =
        opened
            .executor()
            .schedule(
                this::closeSilent,
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
    if (isEnding) {
      context.counters().increment("peer.late-message");
      return;
    }
    if (peerHello.isPresent()) {
      codec.decode(frame.nioBuffer()).peekLeft(this::reject).peek(this::accept);
    } else {
      boolean readsShort = EnvelopeCodec.readsShortFrames(frame.nioBuffer());
      EnvelopeCodec.decode(frame.nioBuffer())
          .peekLeft(this::reject)
          .peek(hello -> acceptHello(hello, readsShort));
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
    // Until the peer's Hello, the timeout of the connect alone counts.
    if (event instanceof IdleStateEvent silence && peerHello.isPresent()) {
      if (silence.state() == IdleState.READER_IDLE) {
        if (channel.channel().config().isAutoRead()) {
          context.counters().increment("peer.silent");
          LogComponent.PEER.warn("'{}' is silent; its connection is closed.", peerName());
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
    if (!isEnding) {
      context.counters().increment("peer.connection-failed");
      LogComponent.PEER.debug("The connection to '{}' failed: {}.", peerName(), cause.getMessage());
    }
    isEnding = true;
    Channels.close(failed);
  }

  private void accept(Envelope envelope) {
    lastMessageNanos = System.nanoTime();
    if (isFromPeer(envelope)) {
      openAttempts.received(envelope.message());
      owner.received(this, envelope);
    } else {
      context.counters().increment("peer.sender-changed");
      LogComponent.PEER.warn("'{}' sent a message as '{}'.", peerName(), envelope.sender());
      close();
    }
  }

  private void acceptHello(Envelope envelope, boolean readsShortFrames) {
    lastMessageNanos = System.nanoTime();
    helloTimeout.cancel(false);
    if (!(envelope.message() instanceof PeerMessage.Hello)) {
      context.counters().increment("peer.no-hello");
      LogComponent.PEER.warn("'{}' did not say Hello first.", envelope.sender());
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
    LogComponent.PEER.warn("A frame of '{}' was rejected: {}.", peerName(), error.message());
    close();
  }

  private void closeSilent() {
    context.counters().increment("peer.no-hello");
    close();
  }

  private boolean isUnused() {
    long ageNanos = System.nanoTime() - lastMessageNanos;
    return isOutbound
        && openAttempts.isEmpty()
        && ageNanos >= context.settings().idleTimeout().toNanos();
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

  private void refuseTooLarge(PeerMessage message, int bytes) {
    context.counters().increment("peer.frame-too-large");
    LogComponent.PEER.warn("A message of {} bytes to '{}' was not sent.", bytes, peerName());
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
