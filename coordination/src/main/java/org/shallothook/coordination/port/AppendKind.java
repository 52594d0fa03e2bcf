package org.shallothook.coordination.port;

import java.util.Locale;

/**
 * What a record is appended to the platform's log for.
 *
 * <p>Appends are the scarcest thing that processes share, so each is counted by its kind. Immutable
 * and thread-safe.
 */
public enum AppendKind {
  /** Claims of bookings, with ends of others that had waited to share the record. */
  CLAIMS,
  /** Ends of claims alone: answers of services, and claims given back. */
  OUTCOMES,
  /** Changes of templates, and word that a model version is rolled out. */
  CONFIGURATION,
  /** Copies of configuration or claims whose records expire. */
  SNAPSHOTS,
  /** Places in the queue for loads of weights. */
  LEASES,
  /** Requests that crash engines. */
  QUARANTINE;

  /** Returns the name of the counter of such appends. */
  public String counter() {
    return "appends." + name().toLowerCase(Locale.ROOT);
  }
}
