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
 * <p>A message goes over an open connection, whichever side has opened it, or opens one. Peers are
 * known by the name in their Hello.
 *
 * <p>Invariant: messages to one peer go in the order given; for each one that cannot arrive or may
 * be lost, the listener hears that the peer is unreachable or lost. Thread-safe.
 */
public final class PeerNetwork implements AutoCloseable {
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(3);

  private final PeerContext context;
  private final PeerClient client;
  private final PeerServer server;
  private final Map<String, PeerLink> links = new HashMap<>();

  /**
   * Creates a network without any connection.
   *
   * @param identity who this process is
   * @param settings limits and timeouts
   * @param loop loop that all connections run on
   * @param listener takes messages and failures
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
    server = new PeerServer(context, new Registry());
  }

  /** Starts to listen and returns the address bound. Waits for the bind. */
  public Try<InetSocketAddress> listen(InetSocketAddress address) {
    return server.bind(address);
  }

  /**
   * Sends a message.
   *
   * @param peer name of the receiving instance
   * @param message message to send
   * @param configurationOffset offset for the envelope
   */
  public void send(String peer, PeerMessage message, long configurationOffset) {
    context
        .loop()
        .execute(
            () -> {
              context.noteConfigurationOffset(configurationOffset);
              link(peer).send(message, configurationOffset);
              forgetUnused(peer);
            });
  }

  /**
   * Tells which peers may be connected to. Open connections to others go on until they are unused,
   * because the list may forget an instance that still streams.
   */
  public void peersChanged(List<Instance> peers) {
    context.loop().execute(() -> setAddresses(peers));
  }

  /**
   * Stops to listen and closes all connections once what was written has arrived. Waits for that,
   * though not for a peer that does not read; must not be called on the loop of the peers.
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
                      "Address of '{}': {}.", peer.name(), failure.getMessage()));
    }
    addresses.keySet().forEach(this::link);
    for (String name : List.copyOf(links.keySet())) {
      link(name).setAddress(Optional.ofNullable(addresses.get(name)));
      forgetUnused(name);
    }
  }

  private PeerLink link(String peer) {
    return links.computeIfAbsent(peer, name -> new PeerLink(name, context, client));
  }

  private void forgetUnused(String peer) {
    if (link(peer).isUnused()) {
      links.remove(peer);
    }
  }

  /** Finds the link of an accepted connection by the name in its Hello. */
  private final class Registry implements PeerConnection.Owner {
    @Override
    public boolean opened(PeerConnection connection, Envelope hello) {
      boolean isTaken = link(hello.sender()).opened(connection, hello);
      forgetUnused(hello.sender());
      return isTaken;
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
                forgetUnused(name);
              });
    }
  }
}
