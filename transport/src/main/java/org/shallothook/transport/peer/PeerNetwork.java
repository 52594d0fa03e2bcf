package org.shallothook.transport.peer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.vavr.control.Try;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.Counters;
import org.shallothook.state.membership.Instance;
import org.shallothook.transport.Addresses;
import org.shallothook.transport.logging.LogComponent;

/**
 * All connections of a process to its peers, in both directions.
 *
 * <pre>{@code
 * PeerNetwork peers = new PeerNetwork(identity, PeerSettings.DEFAULT, loop, listener, counters);
 * peers.listen(address);
 * peers.peersChanged(instances);
 * peers.send("engine-1", message, offset);
 * }</pre>
 *
 * <p>A message is sent on an open connection in either direction; if there is none, one is opened.
 * Peers are identified by the name in their Hello.
 *
 * <p>Invariant: messages to one peer are sent in the order of the calls. If a message cannot be
 * delivered or may have been lost, the listener is notified that the peer is unreachable or lost.
 * Thread-safe.
 */
public final class PeerNetwork implements AutoCloseable {
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(3);

  private final PeerContext context;
  private final PeerClient client;
  private final PeerServer server;
  private final Map<String, PeerLink> links = new HashMap<>();

  /**
   * Creates a network without connections.
   *
   * @param identity identity of this process
   * @param settings limits and timeouts
   * @param loop event loop of all connections
   * @param listener receives messages and failures
   * @param counters counts failures by kind
   */
  public PeerNetwork(
      PeerIdentity identity,
      PeerSettings settings,
      EventLoop loop,
      PeerListener listener,
      Counters counters) {
    context = new PeerContext(identity, settings, loop, listener, counters);
    client = new PeerClient(context);
    server = new PeerServer(context, new InboundRouting());
  }

  /** Starts to listen and returns the bound address. Blocks until the bind has completed. */
  public Try<InetSocketAddress> listen(InetSocketAddress address) {
    return server.bind(address);
  }

  /**
   * Sends a message.
   *
   * @param peer name of the receiving instance
   * @param message message to send
   * @param configurationOffset configuration offset for the envelope
   */
  public void send(String peer, PeerMessage message, long configurationOffset) {
    context
        .loop()
        .execute(
            () -> {
              context.recordConfigurationOffset(configurationOffset);
              link(peer).send(message, configurationOffset);
              removeIfUnused(peer);
            });
  }

  /**
   * Sets the peers that may be connected to. Connections to other peers stay open until they are
   * idle, because an instance may be missing from the list while it still streams.
   */
  public void peersChanged(List<Instance> peers) {
    context.loop().execute(() -> setAddresses(peers));
  }

  /**
   * Stops listening and closes all connections after pending writes have been delivered. Blocks for
   * at most a few seconds, so a peer that does not read can't hold it up. Must not be called on the
   * peer event loop.
   */
  @Override
  public void close() {
    Future<?> closing = context.loop().submit(this::closeConnections);
    closing.awaitUninterruptibly(CLOSE_TIMEOUT.toMillis());
    context.sockets().newCloseFuture().awaitUninterruptibly(CLOSE_TIMEOUT.toMillis());
  }

  private void closeConnections() {
    server.close();
    List.copyOf(links.values()).forEach(PeerLink::closeConnections);
  }

  private void setAddresses(List<Instance> peers) {
    Map<String, InetSocketAddress> addresses = new HashMap<>();
    for (Instance peer : peers) {
      Try.of(() -> Addresses.parse(peer.address()))
          .onSuccess(address -> addresses.put(peer.name(), address))
          .onFailure(
              failure ->
                  LogComponent.PEER.warn(
                      "Invalid address of '{}': {}.", peer.name(), failure.getMessage()));
    }
    addresses.keySet().forEach(this::link);
    for (String name : List.copyOf(links.keySet())) {
      link(name).setAddress(Optional.ofNullable(addresses.get(name)));
      removeIfUnused(name);
    }
  }

  private PeerLink link(String peer) {
    return links.computeIfAbsent(peer, name -> new PeerLink(name, context, client));
  }

  private void removeIfUnused(String peer) {
    if (link(peer).isUnused()) {
      links.remove(peer);
    }
  }

  /** Routes events of inbound connections to the link of the name in the peer's Hello. */
  private final class InboundRouting implements PeerConnection.Owner {
    @Override
    public boolean opened(PeerConnection connection, Envelope hello) {
      boolean isAccepted = link(hello.sender()).opened(connection, hello);
      removeIfUnused(hello.sender());
      return isAccepted;
    }

    @Override
    public void received(PeerConnection connection, Envelope envelope) {
      link(envelope.sender()).received(connection, envelope);
    }

    @Override
    public void closed(PeerConnection connection) {
      connection
          .peerHello()
          .map(Envelope::sender)
          .ifPresent(
              name -> {
                link(name).closed(connection);
                removeIfUnused(name);
              });
    }
  }
}
