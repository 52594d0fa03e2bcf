package org.shallothook.coordination.router;

import java.util.Objects;
import java.util.function.Consumer;

/**
 * All decisions of a router behind one entrance.
 *
 * <p>Invariant: the same events at the same times give the same commands. Not thread-safe: one
 * decision thread owns it.
 */
public final class RouterCore {
  /** Longest time between two ticks, in microseconds. */
  public static final long TICK_INTERVAL_MICROS = 50_000;

  private final Consumer<RouterCommand> commands;

  /**
   * Creates a core.
   *
   * @param commands sink that takes each command in order
   */
  public RouterCore(Consumer<RouterCommand> commands) {
    this.commands = Objects.requireNonNull(commands, "commands");
  }

  /**
   * Reacts to one event.
   *
   * @param event what has happened
   * @param nowMicros time of the event, in microseconds since the epoch; never decreases
   */
  public void handle(RouterEvent event, long nowMicros) {
    if (event instanceof RouterEvent.DrainRequested) {
      commands.accept(new RouterCommand.Drained());
    }
  }
}
