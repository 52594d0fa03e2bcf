package org.shallothook.coordination.registry;

import org.shallothook.coordination.message.Envelope;

/** Receives the changes that a {@link RegistryCore} learns of. Called on the decision thread. */
public interface RegistryListener {

  /** Called when records of a stream have changed, or when its first scan has completed. */
  void onChanges(RegistryChanges changes, long nowMicros);

  /** Called when the store has become readable or unreadable. */
  void onReachabilityChanged(boolean isReachable, long nowMicros);

  /**
   * Called when the store was restored from a copy, so that it lacks some records and gives their
   * offsets out again.
   *
   * @param era number of the store's present era
   * @param offsets next offset of each stream before the restore, for the log
   */
  void onStoreRestored(long era, String offsets, long nowMicros);

  /**
   * Called when the process has not run for a while.
   *
   * @param pauseMicros time for which it has not run, in microseconds
   */
  void onInterrupted(long pauseMicros, long nowMicros);

  /**
   * Called when a write of several keys has ended. Does nothing unless overridden.
   *
   * @param isDone whether the write is known to be done and was not undone by a restore since
   */
  default void onAppended(RegistryStream stream, boolean isDone, long nowMicros) {}

  /** Called for each message of a peer that does not concern the registry. */
  void onMessage(Envelope envelope, long nowMicros);
}
