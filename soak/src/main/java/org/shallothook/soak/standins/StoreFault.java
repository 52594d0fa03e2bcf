package org.shallothook.soak.standins;

import java.util.Map;

/**
 * Faults of the store. They affect requests over HTTP only; {@link StoreStandin#put} always
 * succeeds.
 *
 * <p>Immutable and thread-safe.
 */
public enum StoreFault {
  /** Handles all requests. */
  NONE,
  /** Rejects all requests with status 503. */
  BUSY {
    @Override
    boolean intercepts(StandinRequest call) {
      call.respond(503, Map.of(), new byte[0]);
      return true;
    }
  },
  /** Ignores all requests and never responds. */
  SILENT {
    @Override
    boolean intercepts(StandinRequest call) {
      return true;
    }
  },
  /** Performs appends but sends no response to them. */
  DROPS_APPEND_RESPONSES {
    @Override
    boolean dropsAppendResponses() {
      return true;
    }
  };

  /** Returns true if the fault has handled the request, which the store must then ignore. */
  boolean intercepts(StandinRequest call) {
    return false;
  }

  /** Returns whether appends get no response. */
  boolean dropsAppendResponses() {
    return false;
  }
}
