package org.shallothook.coordination.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;
import org.shallothook.state.collection.BoundedMaps;

/**
 * Requests that were running when an engine crashed and may have caused the crash.
 *
 * <p>A suspect runs alone on an engine. If that engine crashes as well, the suspect is the cause;
 * if the request completes, it is no suspect any more. So other requests of the same batch are not
 * quarantined.
 *
 * <p>Invariant: at most {@link #MAXIMUM_ENTRIES} entries; an entry is ignored after its expiry. Not
 * thread-safe.
 */
public final class CrashSuspects {
  /** Maximum number of suspects. */
  public static final int MAXIMUM_ENTRIES = 4_096;

  private final long suspectDurationMicros;
  private final Map<String, Long> expiresAtMicros = new LinkedHashMap<>();

  /**
   * Creates an empty set of suspects.
   *
   * @param suspectDurationMicros time for which a request stays a suspect, in microseconds
   */
  public CrashSuspects(long suspectDurationMicros) {
    this.suspectDurationMicros = suspectDurationMicros;
  }

  /**
   * Records the crash of an engine that ran the request.
   *
   * @param fingerprint digest of the request
   * @param ranAlone whether it was the only request on the engine
   * @param nowMicros time of the crash
   * @return whether the request caused the crash
   */
  public boolean onCrash(String fingerprint, boolean ranAlone, long nowMicros) {
    if (ranAlone) {
      expiresAtMicros.remove(fingerprint);
      return true;
    }
    BoundedMaps.putNewest(
        expiresAtMicros, fingerprint, nowMicros + suspectDurationMicros, MAXIMUM_ENTRIES);
    return false;
  }

  /** Removes a request that has completed. */
  public void onCompleted(String fingerprint) {
    expiresAtMicros.remove(fingerprint);
  }

  /** Returns whether the request must run alone on an engine. */
  public boolean isSuspect(String fingerprint, long nowMicros) {
    return expiresAtMicros.getOrDefault(fingerprint, 0L) > nowMicros;
  }

  /** Removes the entries that have expired. */
  public void removeExpired(long nowMicros) {
    expiresAtMicros.values().removeIf(until -> until <= nowMicros);
  }
}
