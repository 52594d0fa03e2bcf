package org.shallothook.benchmarks.virtual;

import org.shallothook.coordination.message.Envelope;

/**
 * A router or sidecar process: up or down, perhaps frozen, with an incarnation for each start.
 *
 * <p>Invariant: incarnations grow; what was addressed to an earlier one never arrives. Not
 * thread-safe.
 */
public abstract class VirtualProcess {
  private final String name;
  private final String failureDomain;
  private final EventQueue queue;
  private long incarnation;
  private boolean isUp;
  private long frozenUntilMicros;

  VirtualProcess(String name, String failureDomain, EventQueue queue) {
    this.name = name;
    this.failureDomain = failureDomain;
    this.queue = queue;
  }

  /** Returns the name of the instance. */
  public final String name() {
    return name;
  }

  /** Returns the failure domain. */
  public final String failureDomain() {
    return failureDomain;
  }

  /** Returns the incarnation of the latest start. */
  public final long incarnation() {
    return incarnation;
  }

  /** Returns whether the process runs, frozen or not. */
  public final boolean isUp() {
    return isUp;
  }

  /** Stops the process from doing anything until a time; what arrives meanwhile waits. */
  public final void freezeUntil(long untilMicros) {
    frozenUntilMicros = untilMicros;
  }

  final EventQueue queue() {
    return queue;
  }

  final void start() {
    incarnation++;
    isUp = true;
    frozenUntilMicros = 0;
    onStart();
  }

  final void stop() {
    isUp = false;
    onStop();
  }

  /** Runs an action in the process after a delay, unless the process ends before. */
  final void after(long delayMicros, Runnable action) {
    at(queue.nowMicros() + delayMicros, action);
  }

  /** Runs an action in the process at a time, unless the process ends before. */
  final void at(long atMicros, Runnable action) {
    long addressee = incarnation;
    queue.at(atMicros, () -> runIfAlive(addressee, action));
  }

  private void runIfAlive(long addressee, Runnable action) {
    if (!isUp || incarnation != addressee) {
      return;
    }
    if (queue.nowMicros() < frozenUntilMicros) {
      queue.at(frozenUntilMicros, () -> runIfAlive(addressee, action));
      return;
    }
    action.run();
  }

  /** Sends ticks to the process as long as this incarnation runs. */
  final void tickEvery(long intervalMicros, Runnable tick) {
    after(
        intervalMicros,
        () -> {
          tick.run();
          tickEvery(intervalMicros, tick);
        });
  }

  abstract void onStart();

  abstract void onStop();

  /** Takes a message of a peer. */
  abstract void onMessage(Envelope envelope);

  /** Learns that nothing sent to a peer has arrived, or that what was sent may have. */
  abstract void onPeerDown(String peer, boolean wasConnected);
}
