package org.shallothook.coordination.engine;

/** A difference between two consecutive status reports of an engine. Immutable and thread-safe. */
public enum EngineChange {
  /** The engine has restarted, with an empty cache and no streams. */
  INCARNATION,
  /** The engine has become reachable or unreachable. */
  REACHABILITY,
  /** The set of loaded model versions differs. */
  VERSIONS,
  /** A model version is no longer loaded. */
  VERSION_REMOVED,
  /** The engine has started or stopped reporting that it is leaving. */
  LEAVING,
  /** The engine's role has changed. */
  ROLE
}
