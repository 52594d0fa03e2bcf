package org.shallothook.transport.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.shallothook.coordination.message.Envelope;

/** Records the received events in order. Thread-safe. */
final class RecordingListener implements PeerListener {
  private static final long LONGEST_WAIT_SECONDS = 20;

  private final BlockingQueue<PeerEvent> events = new LinkedBlockingQueue<>();

  /** A received event. */
  sealed interface PeerEvent {
    record Message(Envelope envelope) implements PeerEvent {}

    record Unreachable(String peer) implements PeerEvent {}

    record Lost(String peer) implements PeerEvent {}
  }

  @Override
  public void messageReceived(Envelope envelope) {
    events.add(new PeerEvent.Message(envelope));
  }

  @Override
  public void peerUnreachable(String peer) {
    events.add(new PeerEvent.Unreachable(peer));
  }

  @Override
  public void peerLost(String peer) {
    events.add(new PeerEvent.Lost(peer));
  }

  /** Waits for the next event. */
  PeerEvent next() throws InterruptedException {
    PeerEvent next = events.poll(LONGEST_WAIT_SECONDS, TimeUnit.SECONDS);
    if (next == null) {
      throw new AssertionError("No event was received in time.");
    }
    return next;
  }

  /** Removes and returns the events received so far. */
  List<PeerEvent> takeAll() {
    List<PeerEvent> taken = new ArrayList<>();
    events.drainTo(taken);
    return taken;
  }

  /** Waits for the next event, which must be a message. */
  Envelope nextMessage() throws InterruptedException {
    return ((PeerEvent.Message) next()).envelope();
  }
}
