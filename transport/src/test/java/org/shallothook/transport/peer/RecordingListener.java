package org.shallothook.transport.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.shallothook.coordination.message.Envelope;

/** Keeps what it hears in order. Thread-safe. */
final class RecordingListener implements PeerListener {
  private static final long LONGEST_WAIT_SECONDS = 20;

  private final BlockingQueue<Heard> heard = new LinkedBlockingQueue<>();

  /** What was heard. */
  sealed interface Heard {
    record Message(Envelope envelope) implements Heard {}

    record Unreachable(String peer) implements Heard {}

    record Lost(String peer) implements Heard {}
  }

  @Override
  public void messageReceived(Envelope envelope) {
    heard.add(new Heard.Message(envelope));
  }

  @Override
  public void peerUnreachable(String peer) {
    heard.add(new Heard.Unreachable(peer));
  }

  @Override
  public void peerLost(String peer) {
    heard.add(new Heard.Lost(peer));
  }

  /** Waits for the next thing heard. */
  Heard next() throws InterruptedException {
    Heard next = heard.poll(LONGEST_WAIT_SECONDS, TimeUnit.SECONDS);
    if (next == null) {
      throw new AssertionError("Nothing was heard.");
    }
    return next;
  }

  /** Takes what was heard so far. */
  List<Heard> takeAll() {
    List<Heard> taken = new ArrayList<>();
    heard.drainTo(taken);
    return taken;
  }

  /** Waits for the next message. */
  Envelope nextMessage() throws InterruptedException {
    return ((Heard.Message) next()).envelope();
  }
}
