package org.shallothook.coordination.registry;

import org.shallothook.coordination.message.Envelope;

/** Ignores what a test does not look at. */
interface QuietRegistryListener extends RegistryListener {
  @Override
  default void onChanges(RegistryChanges changes, long nowMicros) {}

  @Override
  default void onReachabilityChanged(boolean isReachable, long nowMicros) {}

  @Override
  default void onStoreRestored(long era, String offsets, long nowMicros) {}

  @Override
  default void onInterrupted(long pauseMicros, long nowMicros) {}

  @Override
  default void onMessage(Envelope envelope, long nowMicros) {}
}
