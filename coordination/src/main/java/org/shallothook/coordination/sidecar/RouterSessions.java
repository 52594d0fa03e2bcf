package org.shallothook.coordination.sidecar;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.shallothook.coordination.message.Envelope;

/**
 * Routers that are connected, and the latest incarnation heard of each peer.
 *
 * <p>Invariant: at most {@link #MAXIMUM_PEERS} incarnations are kept; the one learned first goes
 * first. Not thread-safe: used on the decision thread.
 */
final class RouterSessions {
  static final int MAXIMUM_PEERS = 4_096;

  /** How a message relates to what was heard of its sender. */
  enum IncarnationCheck {
    /** The message is of the incarnation known, or of the first one heard of. */
    CURRENT,
    /** The sender has restarted since its last message. */
    RESTARTED,
    /** The message is of an incarnation before the latest. */
    OUTDATED
  }

  private final Map<String, Long> incarnations = new LinkedHashMap<>();
  private final Set<String> connected = new LinkedHashSet<>();

  /** Takes the sender of a message. */
  IncarnationCheck recordIncarnation(Envelope envelope) {
    long incarnation = envelope.senderIncarnation();
    Long known = incarnations.get(envelope.sender());
    if (known != null && incarnation < known) {
      return IncarnationCheck.OUTDATED;
    }
    if (known == null && incarnations.size() >= MAXIMUM_PEERS) {
      incarnations.remove(incarnations.keySet().iterator().next());
    }
    incarnations.put(envelope.sender(), incarnation);
    return known == null || known == incarnation
        ? IncarnationCheck.CURRENT
        : IncarnationCheck.RESTARTED;
  }

  void connect(String router) {
    connected.add(router);
  }

  void disconnect(String peer) {
    connected.remove(peer);
  }

  /** Returns the connected routers in order of connection. */
  List<String> connected() {
    return new ArrayList<>(connected);
  }
}
