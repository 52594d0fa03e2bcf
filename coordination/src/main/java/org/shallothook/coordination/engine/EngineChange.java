package org.shallothook.coordination.engine;

/** What may differ between two reports of an engine. Immutable and thread-safe. */
public enum EngineChange {
  /** The engine has started anew, with an empty cache and no streams. */
  INCARNATION,
  /** The engine has become reachable or unreachable. */
  REACHABILITY,
  /** The set of loaded model versions differs. */
  VERSIONS,
  /** A model version is no longer loaded. */
  VERSION_REMOVED,
  /** The engine says that it is leaving, or no longer says so. */
  LEAVING,
  /** The engine has another role. */
  ROLE
}
