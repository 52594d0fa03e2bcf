package org.shallothook.coordination.port;

import java.util.Locale;

/**
 * Purpose of a record that is appended to the platform's log.
 *
 * <p>Append throughput is the scarcest resource that all processes share, so appends are counted by
 * kind. Immutable and thread-safe.
 */
public enum AppendKind {
  /**
   * New claims on calls, batched with the ends of earlier claims that were held back to share the
   * record.
   */
  CLAIMS,
  /** Records that only end claims: responses of services, and claims released without a call. */
  OUTCOMES,
  /** Changes of templates, and records that a model version is rolled out. */
  CONFIGURATION,
  /**
   * Copies of the configuration or of claims, appended because the original records are about to
   * expire.
   */
  SNAPSHOTS,
  /** Leases on the slots for loading weights. */
  LEASES,
  /** Quarantined requests, which crash engines. */
  QUARANTINE;

  /** Returns the name of the counter for appends of this kind. */
  public String counter() {
    return "appends." + name().toLowerCase(Locale.ROOT);
  }
}
