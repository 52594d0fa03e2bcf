package org.shallothook.state.membership;

import java.util.Arrays;
import java.util.Locale;
import org.shallothook.state.configuration.PriorityClass;

/**
 * Role that determines which priority classes of work a model engine is offered.
 *
 * <p>Immutable and thread-safe.
 */
public enum EngineRole {
  /** Offered work of every priority class. */
  MIXED {
    @Override
    public boolean accepts(PriorityClass priority) {
      return true;
    }
  },

  /**
   * Reserved for priority work; ordinary work is sent here only if no other engine is available.
   */
  PRIORITY {
    @Override
    public boolean accepts(PriorityClass priority) {
      return priority == PriorityClass.PRIORITY;
    }
  },

  /**
   * A role that the configuration never assigns. Offered work of every priority class until the
   * engine is ordered to another role.
   */
  OTHER {
    @Override
    public boolean accepts(PriorityClass priority) {
      return true;
    }
  };

  /** Returns whether work of a priority class is offered to an engine of this role. */
  public abstract boolean accepts(PriorityClass priority);

  /** Returns the name used in messages, orders and documentation. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Returns the role of a name; {@link #MIXED} for the empty name of an engine without roles, and
   * {@link #OTHER} for an unknown name.
   */
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
