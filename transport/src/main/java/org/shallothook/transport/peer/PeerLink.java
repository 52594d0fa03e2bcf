package org.shallothook.transport.peer;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.transport.Channels;
import org.shallothook.transport.logging.LogComponent;

/**
 * Link to one peer: its address, its connections and the messages that wait for a connection.
 *
 * <p>Invariant: at most one connection in each direction is in use. A newer one replaces the older,
 * and messages that still arrive on the older are dropped. Used only on the peer event loop.
 */
final class PeerLink implements PeerConnection.Owner {
  private final String peer;
  private final PeerContext context;
  private final PeerClient client;
  private final RetryDelay retryDelay;
  private final List<PendingMessage> pending = new ArrayList<>();
  private Optional<InetSocketAddress> address = Optional.empty();
  private Optional<PeerConnection> outbound = Optional.empty();
  private Optional<PeerConnection> inbound = Optional.empty();
  private Optional<Channel> connecting = Optional.empty();
  private boolean isConnecting;

  /** A message that is queued until the connection is open. */
  private record PendingMessage(PeerMessage message, long configurationOffset) {}

  PeerLink(String peer, PeerContext context, PeerClient client) {
    this.peer = peer;
    this.context = context;
    this.client = client;
    this.retryDelay = new RetryDelay(context.settings());
  }

  void setAddress(Optional<InetSocketAddress> newAddress) {
    if (newAddress.isPresent() && !newAddress.equals(address)) {
      retryDelay.reset();
    }
    address = newAddress;
  }

  boolean isUnused() {
    return address.isEmpty() && outbound.isEmpty() && inbound.isEmpty() && !isConnecting;
  }

  void send(PeerMessage message, long configurationOffset) {
    Optional<PeerConnection> open = openConnection();
    if (open.isPresent()) {
      open.get().send(message, configurationOffset);
    } else if (isConnecting && pending.size() < RetryDelay.MAXIMUM_PENDING_MESSAGES) {
      pending.add(new PendingMessage(message, configurationOffset));
    } else if (isConnecting) {
      context.counters().increment("peer.pending-full");
      failConnecting("too many messages are queued for the connection");
    } else if (address.isEmpty() || retryDelay.isWaiting()) {
      context.counters().increment("peer.unreachable");
      context.listener().peerUnreachable(peer);
    } else {
      pending.add(new PendingMessage(message, configurationOffset));
      isConnecting = true;
      client.connect(address.get(), this);
    }
  }

  /** Records the channel of a connect attempt, so that the attempt can be aborted. */
  void connecting(Channel channel) {
    connecting = Optional.of(channel);
  }

  /** Handles a connect attempt that failed before any message was sent. */
  void connectFailed(Channel channel, String detail) {
    if (connecting.filter(current -> current == channel).isPresent()) {
      failConnecting(detail);
    }
  }

  @Override
  public boolean opened(PeerConnection connection, Envelope hello) {
    if (isStale(hello)) {
      context.counters().increment("peer.stale-incarnation");
      LogComponent.PEER.warn("Rejected a connection of an older incarnation of '{}'.", peer);
      return false;
    }
    if (connection.isOutbound()) {
      return openedOutbound(connection, hello);
    }
    Optional<PeerConnection> older = inbound;
    inbound = Optional.of(connection);
    older.ifPresent(this::closeReplaced);
    context.listener().messageReceived(hello);
    return true;
  }

  @Override
  public void received(PeerConnection connection, Envelope envelope) {
    if (isInUse(connection)) {
      context.listener().messageReceived(envelope);
    } else {
      context.counters().increment("peer.late-message");
    }
  }

  @Override
  public void closed(PeerConnection connection) {
    if (isInUse(connection)) {
      if (connection.isOutbound()) {
        outbound = Optional.empty();
      } else {
        inbound = Optional.empty();
      }
      reportLoss(connection);
    } else if (connection.isOutbound()) {
      connectFailed(connection.channel(), "the connection was closed before the peer's Hello");
    }
  }

  void closeConnections() {
    outbound.ifPresent(PeerConnection::closeAfterWrites);
    inbound.ifPresent(PeerConnection::closeAfterWrites);
    connecting.ifPresent(Channels::close);
  }

  private boolean openedOutbound(PeerConnection connection, Envelope hello) {
    if (!hello.sender().equals(peer)) {
      context.counters().increment("peer.wrong-name");
      LogComponent.PEER.warn(
          "Rejected a connection: '{}' was found at the address of '{}'.", hello.sender(), peer);
      return false;
    }
    isConnecting = false;
    connecting = Optional.empty();
    outbound = Optional.of(connection);
    retryDelay.reset();
    context.listener().messageReceived(hello);
    List<PendingMessage> queued = List.copyOf(pending);
    pending.clear();
    queued.forEach(next -> connection.send(next.message(), next.configurationOffset()));
    return true;
  }

  private void reportLoss(PeerConnection connection) {
    if (!connection.isClosedAsUnused()) {
      context.counters().increment("peer.lost");
      context.listener().peerLost(peer);
    }
  }

  private void closeReplaced(PeerConnection older) {
    context.counters().increment("peer.replaced");
    context.listener().peerLost(peer);
    older.close();
  }

  private boolean isStale(Envelope hello) {
    return openConnection()
        .flatMap(PeerConnection::peerHello)
        .filter(known -> known.senderIncarnation() > hello.senderIncarnation())
        .isPresent();
  }

  private Optional<PeerConnection> openConnection() {
    return outbound
        .filter(PeerConnection::isReady)
        .or(() -> inbound.filter(PeerConnection::isReady));
  }

  private boolean isInUse(PeerConnection connection) {
    return outbound.filter(current -> current == connection).isPresent()
        || inbound.filter(current -> current == connection).isPresent();
  }

  private void failConnecting(String detail) {
    LogComponent.PEER.debug("No connection to '{}': {}.", peer, detail);
    isConnecting = false;
    pending.clear();
    retryDelay.failed();
    Optional<Channel> aborted = connecting;
    connecting = Optional.empty();
    aborted.ifPresent(Channels::close);
    context.counters().increment("peer.unreachable");
    context.listener().peerUnreachable(peer);
  }
}
