package org.shallothook.coordination.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Requests that were in flight when an engine crashed.
 *
 * <p>A suspect runs alone. If the engine crashes again it was the cause; if it completes it is
 * cleared, so that requests of the same batch are not condemned with it.
 *
 * <p>Invariant: at most {@link #MAXIMUM_ENTRIES} entries; an entry is void after its deadline. Not
 * thread-safe.
 */
public final class CrashSuspects {
  /** Greatest number of suspects. */
  public static final int MAXIMUM_ENTRIES = 4_096;

  private final long suspicionMicros;
  private final Map<String, Long> untilMicros = new LinkedHashMap<>();

  /**
   * Creates an empty register.
   *
   * @param suspicionMicros how long a suspicion lasts, in microseconds
   */
  public CrashSuspects(long suspicionMicros) {
    this.suspicionMicros = suspicionMicros;
  }

  /**
   * Takes in the crash of an engine that ran the request.
   *
   * @param fingerprint digest of the request
   * @param ranAlone whether it was the only request on the engine
   * @param nowMicros time of the crash
   * @return whether the request is now convicted
   */
  public boolean onCrash(String fingerprint, boolean ranAlone, long nowMicros) {
    if (ranAlone) {
      untilMicros.remove(fingerprint);
      return true;
    }
    untilMicros.remove(fingerprint);
    untilMicros.put(fingerprint, nowMicros + suspicionMicros);
    if (untilMicros.size() > MAXIMUM_ENTRIES) {
      untilMicros.remove(untilMicros.keySet().iterator().next());
    }
    return false;
  }

  /** Clears a request that has completed. */
  public void onCompleted(String fingerprint) {
    untilMicros.remove(fingerprint);
  }

  /** Returns whether the request must run alone. */
  public boolean isSuspect(String fingerprint, long nowMicros) {
    return untilMicros.getOrDefault(fingerprint, 0L) > nowMicros;
  }

  /** Forgets suspicions whose deadline has passed. */
  public void forgetPassed(long nowMicros) {
    untilMicros.values().removeIf(until -> until <= nowMicros);
  }
}
