package org.shallothook.coordination.sidecar;

import java.util.Objects;
import java.util.function.Consumer;

/**
 * All decisions of a sidecar behind one entrance.
 *
 * <p>Invariant: the same events at the same times give the same commands. Not thread-safe: one
 * decision thread owns it.
 */
public final class SidecarCore {
  /** Longest time between two ticks, in microseconds. */
  public static final long TICK_INTERVAL_MICROS = 20_000;

  private final Consumer<SidecarCommand> commands;

  /**
   * Creates a core.
   *
   * @param commands sink that takes each command in order
   */
  public SidecarCore(Consumer<SidecarCommand> commands) {
    this.commands = Objects.requireNonNull(commands, "commands");
  }

  /**
   * Reacts to one event.
   *
   * @param event what has happened
   * @param nowMicros time of the event, in microseconds since the epoch; never decreases
   */
  public void handle(SidecarEvent event, long nowMicros) {
    if (event instanceof SidecarEvent.DrainRequested) {
      commands.accept(new SidecarCommand.Drained());
    }
  }
}
