package org.shallothook.coordination.sidecar;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.state.collection.BoundedMaps;

/**
 * Tracks the connected routers and the latest known incarnation of each peer.
 *
 * <p>Invariant: at most {@link #MAXIMUM_PEERS} incarnations are kept; the oldest entry is evicted
 * first. Not thread-safe: used on the decision thread.
 */
final class RouterSessions {
  static final int MAXIMUM_PEERS = 4_096;

  /** Result of comparing a message's incarnation with the latest known one of its sender. */
  enum IncarnationCheck {
    /** The message is from the latest known incarnation, or from the first one seen. */
    CURRENT,
    /** The sender has restarted since its last message. */
    RESTARTED,
    /** The message is from an incarnation before the latest one. */
    OUTDATED
  }

  private final Map<String, Long> incarnations = new LinkedHashMap<>();
  private final Set<String> connectedRouters = new LinkedHashSet<>();

  /**
   * Compares the incarnation of a message's sender with the latest known one, and stores it unless
   * it is outdated.
   */
  IncarnationCheck recordIncarnation(Envelope envelope) {
    long incarnation = envelope.senderIncarnation();
    Long known = incarnations.get(envelope.sender());
    if (known != null && incarnation < known) {
      return IncarnationCheck.OUTDATED;
    }
    incarnations.put(envelope.sender(), incarnation);
    BoundedMaps.removeEldest(incarnations, MAXIMUM_PEERS);
    return known == null || known == incarnation
        ? IncarnationCheck.CURRENT
        : IncarnationCheck.RESTARTED;
  }

  void connect(String router) {
    connectedRouters.add(router);
  }

  void disconnect(String peer) {
    connectedRouters.remove(peer);
  }

  /** Returns the connected routers in order of connection. */
  List<String> connected() {
    return new ArrayList<>(connectedRouters);
  }
}
