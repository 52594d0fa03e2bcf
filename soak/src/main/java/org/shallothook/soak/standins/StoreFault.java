package org.shallothook.soak.standins;

import java.util.Map;

/**
 * Ways in which the store fails the processes; the operator is always served.
 *
 * <p>Immutable and thread-safe.
 */
public enum StoreFault {
  /** Serves all calls. */
  NONE,
  /** Rejects calls without doing anything. */
  BUSY {
    @Override
    boolean intercepts(HttpCall call) {
      call.answer(503, Map.of(), new byte[0]);
      return true;
    }
  },
  /** Does nothing and never answers. */
  SILENT {
    @Override
    boolean intercepts(HttpCall call) {
      return true;
    }
  },
  /** Carries appends out and loses the answer. */
  LOSES_ANSWERS {
    @Override
    boolean losesAnswer() {
      return true;
    }
  };

  /** Returns whether the fault has dealt with a call. */
  boolean intercepts(HttpCall call) {
    return false;
  }

  /** Returns whether the answer to an append is lost. */
  boolean losesAnswer() {
    return false;
  }
}
