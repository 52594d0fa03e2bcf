package org.shallothook.transport.peer;

import java.util.LinkedHashMap;
import java.util.Map;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.request.AttemptId;

/**
 * Attempts that an opener of a connection still waits for, so that it does not close the connection
 * as idle.
 *
 * <p>Invariant: holds at most {@link #LARGEST} attempts, the newest. Not thread-safe.
 */
final class OpenAttempts {
  private static final int LARGEST = 4_096;

  private final Map<AttemptId, Boolean> open =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<AttemptId, Boolean> eldest) {
          return size() > LARGEST;
        }
      };

  void sent(PeerMessage message) {
    if (message instanceof PeerMessage.Offer offer) {
      open.put(offer.attempt(), true);
    } else if (message instanceof PeerMessage.Call call) {
      open.put(call.attempt(), true);
    } else if (message instanceof PeerMessage.Cancel cancel) {
      open.remove(cancel.attempt());
    }
  }

  void received(PeerMessage message) {
    if (message instanceof PeerMessage.OfferReply reply && reply.refusal().isPresent()) {
      open.remove(reply.attempt());
    } else if (message instanceof PeerMessage.Ended ended) {
      open.remove(ended.attempt());
    } else if (message instanceof PeerMessage.Failed failed) {
      open.remove(failed.attempt());
    } else if (message instanceof PeerMessage.CallAnswer answer) {
      open.remove(answer.attempt());
    }
  }

  boolean isEmpty() {
    return open.isEmpty();
  }
}
