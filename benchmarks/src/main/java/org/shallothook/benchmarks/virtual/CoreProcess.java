package org.shallothook.benchmarks.virtual;

import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;

/**
 * A process around a decision core: what routers and sidecars do alike with network and platform.
 *
 * <p>Invariant: a core gets events only while its own incarnation runs. Not thread-safe.
 *
 * @param <E> type of the core's events
 */
abstract class CoreProcess<E> extends VirtualProcess {
  private final VirtualFleet fleet;
  private final ProcessEvents<E> events;

  CoreProcess(VirtualFleet fleet, String name, String failureDomain, ProcessEvents<E> events) {
    super(name, failureDomain, fleet.queue());
    this.fleet = fleet;
    this.events = events;
  }

  /** Gives the core an event. */
  abstract void handle(E event);

  @Override
  final void onMessage(Envelope envelope) {
    handle(events.received().apply(envelope));
  }

  @Override
  final void onPeerDown(String peer, boolean wasConnected) {
    handle(wasConnected ? events.lost().apply(peer) : events.unreachable().apply(peer));
  }

  final VirtualFleet fleet() {
    return fleet;
  }

  final void startTicks(long intervalMicros) {
    after(0, () -> handle(events.tick().get()));
    tickEvery(intervalMicros, () -> handle(events.tick().get()));
  }

  final void send(String peer, PeerMessage message, long configurationOffset) {
    fleet
        .network()
        .send(this, peer, new Envelope(name(), incarnation(), configurationOffset, message));
  }

  final void readInstances(long knownVersion) {
    fleet
        .platform()
        .readInstances(this, knownVersion, list -> handle(events.instances().apply(list)));
  }

  final void readLog(String stream, long fromOffset) {
    fleet
        .platform()
        .readLog(
            this,
            stream,
            fromOffset,
            page ->
                handle(page.map(events.read()).orElseGet(() -> events.readFailed().apply(stream))));
  }

  final void append(long token, String stream, String payload) {
    fleet
        .platform()
        .append(
            this,
            stream,
            payload,
            offset -> handle(events.appended().apply(token, offset)),
            mayHave -> handle(events.appendFailed().apply(token, mayHave)));
  }
}
