package org.shallothook.sidecar;

import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.state.log.LogPage;
import org.shallothook.transport.decision.EventSink;
import org.shallothook.transport.peer.PeerListener;
import org.shallothook.transport.platform.LogListener;

/**
 * Converts callbacks of the peer network and the log client into sidecar events.
 *
 * <p>Thread-safe.
 */
final class SidecarEvents implements PeerListener, LogListener {
  private final EventSink<SidecarEvent> sink;

  SidecarEvents(EventSink<SidecarEvent> sink) {
    this.sink = sink;
  }

  @Override
  public void messageReceived(Envelope envelope) {
    sink.deliver(new SidecarEvent.PeerMessageReceived(envelope));
  }

  @Override
  public void peerUnreachable(String peer) {
    sink.deliver(new SidecarEvent.PeerUnreachable(peer));
  }

  @Override
  public void peerLost(String peer) {
    sink.deliver(new SidecarEvent.PeerLost(peer));
  }

  @Override
  public boolean isCongested() {
    return sink.isCongested();
  }

  @Override
  public void logRead(LogPage page) {
    sink.deliver(new SidecarEvent.LogRead(page));
  }

  @Override
  public void logReadFailed(String stream) {
    sink.deliver(new SidecarEvent.LogReadFailed(stream));
  }

  @Override
  public void logAppended(long token, long offset) {
    sink.deliver(new SidecarEvent.LogAppended(token, offset));
  }

  @Override
  public void logAppendFailed(long token, boolean mayHaveTakenEffect) {
    sink.deliver(new SidecarEvent.LogAppendFailed(token, mayHaveTakenEffect));
  }
}
