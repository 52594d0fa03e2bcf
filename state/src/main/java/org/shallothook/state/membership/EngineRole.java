package org.shallothook.state.membership;

import java.util.Arrays;
import java.util.Locale;
import org.shallothook.state.configuration.PriorityClass;

/**
 * Which classes of work a model engine is offered.
 *
 * <p>Immutable and thread-safe.
 */
public enum EngineRole {
  /** Offered all work. */
  MIXED {
    @Override
    public boolean takes(PriorityClass priority) {
      return true;
    }
  },

  /** Kept free for priority work; ordinary work comes only where no other engine is left. */
  PRIORITY {
    @Override
    public boolean takes(PriorityClass priority) {
      return priority == PriorityClass.PRIORITY;
    }
  },

  /** A role that the configuration never assigns; offered all work until it is ordered away. */
  OTHER {
    @Override
    public boolean takes(PriorityClass priority) {
      return true;
    }
  };

  /** Returns whether work of that class is offered to an engine of this role. */
  public abstract boolean takes(PriorityClass priority);

  /** Returns the name used in messages, orders and pages. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the role of that name; no name stands for an engine without roles. */
  public static EngineRole of(String code) {
    if (code.isEmpty()) {
      return MIXED;
    }
    return Arrays.stream(values())
        .filter(role -> role.code().equals(code))
        .findFirst()
        .orElse(OTHER);
  }
}
