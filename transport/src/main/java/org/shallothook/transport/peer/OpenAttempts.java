package org.shallothook.transport.peer;

import java.util.LinkedHashMap;
import java.util.Map;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.request.AttemptId;

/**
 * Attempts that were sent on a connection and have not ended. The side that opened the connection
 * does not close it as idle while there are any.
 *
 * <p>Invariant: holds at most {@link #MAX_ATTEMPTS} attempts and drops the oldest. Not thread-safe.
 */
final class OpenAttempts {
  private static final int MAX_ATTEMPTS = 4_096;

  private final Map<AttemptId, Boolean> open =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<AttemptId, Boolean> eldest) {
          return size() > MAX_ATTEMPTS;
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
