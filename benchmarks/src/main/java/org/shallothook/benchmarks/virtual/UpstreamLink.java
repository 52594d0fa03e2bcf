package org.shallothook.benchmarks.virtual;

import org.shallothook.coordination.sidecar.SidecarCommand;

/**
 * The upstream of one sidecar and the way to it.
 *
 * <p>Not thread-safe.
 */
interface UpstreamLink {

  /** Carries out a command for the upstream; others are ignored. */
  void carryOut(SidecarCommand command);

  /** The sidecar has ended, and its connections to the upstream with it. */
  void sidecarStopped();

  /** Ends the upstream; it comes back empty after its restart time. */
  void crash();

  /** Sets whether the upstream says that it is leaving. */
  void setLeaving(boolean isLeaving);
}
