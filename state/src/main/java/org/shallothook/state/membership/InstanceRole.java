package org.shallothook.state.membership;

/** Role of an instance in the fleet. Immutable and thread-safe. */
public enum InstanceRole {
  ROUTER,
  MODEL_ENGINE,
  CACHE_STORE,
  SERVICE;

  /** Returns whether callers' requests may be dispatched to instances of this role. */
  public boolean isUpstream() {
    return this == MODEL_ENGINE || this == SERVICE;
  }
}
