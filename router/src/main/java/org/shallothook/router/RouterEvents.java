package org.shallothook.router;

import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.state.log.LogPage;
import org.shallothook.transport.decision.EventSink;
import org.shallothook.transport.peer.PeerListener;
import org.shallothook.transport.platform.LogListener;

/**
 * Converts callbacks of the peer network and the log client into router events.
 *
 * <p>Thread-safe.
 */
final class RouterEvents implements PeerListener, LogListener {
  private final EventSink<RouterEvent> sink;

  RouterEvents(EventSink<RouterEvent> sink) {
    this.sink = sink;
  }

  @Override
  public void messageReceived(Envelope envelope) {
    sink.deliver(new RouterEvent.PeerMessageReceived(envelope));
  }

  @Override
  public void peerUnreachable(String peer) {
    sink.deliver(new RouterEvent.PeerUnreachable(peer));
  }

  @Override
  public void peerLost(String peer) {
    sink.deliver(new RouterEvent.PeerLost(peer));
  }

  @Override
  public boolean isCongested() {
    return sink.isCongested();
  }

  @Override
  public void logRead(LogPage page) {
    sink.deliver(new RouterEvent.LogRead(page));
  }

  @Override
  public void logReadFailed(String stream) {
    sink.deliver(new RouterEvent.LogReadFailed(stream));
  }

  @Override
  public void logAppended(long token, long offset) {
    sink.deliver(new RouterEvent.LogAppended(token, offset));
  }

  @Override
  public void logAppendFailed(long token, boolean mayHaveTakenEffect) {
    sink.deliver(new RouterEvent.LogAppendFailed(token, mayHaveTakenEffect));
  }
}
