package org.shallothook.benchmarks.virtual;

import org.shallothook.coordination.router.RouterCommand;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;

/**
 * Sees every event before a core handles it and every command before it is carried out.
 *
 * <p>An observer may inject faults through the fleet: a process that it stops while a command is
 * shown does not carry that command out, and one stopped while an event is shown does not handle
 * it. That is how a fault is placed at a step.
 */
public interface FleetObserver {

  /** An event is about to be handled by a router. */
  default void routerEvent(String router, RouterEvent event, long nowMicros) {}

  /** A command of a router is about to be carried out. */
  default void routerCommand(String router, RouterCommand command, long nowMicros) {}

  /** An event is about to be handled by a sidecar. */
  default void sidecarEvent(String sidecar, SidecarEvent event, long nowMicros) {}

  /** A command of a sidecar is about to be carried out. */
  default void sidecarCommand(String sidecar, SidecarCommand command, long nowMicros) {}
}
