package org.shallothook.coordination.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.shallothook.state.collection.BoundedMaps;

/**
 * Requests that must not run, each until its quarantine expires.
 *
 * <p>Invariant: the latest expiry received for a fingerprint holds; at most {@link
 * #MAXIMUM_ENTRIES} entries, of which the least recently changed is evicted first. Not thread-safe.
 */
public final class QuarantineRegister {
  /** Maximum number of requests in quarantine. */
  public static final int MAXIMUM_ENTRIES = 4_096;

  private final Map<String, Long> expiresAtMicros = new LinkedHashMap<>();

  /** Adds or extends a quarantine; returns false if it has expired or was known already. */
  public boolean add(String fingerprint, long until, long nowMicros) {
    Long known = expiresAtMicros.get(fingerprint);
    if (until <= nowMicros || (known != null && known >= until)) {
      return false;
    }
    BoundedMaps.putNewest(expiresAtMicros, fingerprint, until, MAXIMUM_ENTRIES);
    return true;
  }

  /** Returns the end of a request's quarantine, if it is in force. */
  public Optional<Long> quarantinedUntil(String fingerprint, long nowMicros) {
    return Optional.ofNullable(expiresAtMicros.get(fingerprint)).filter(until -> until > nowMicros);
  }

  /** Removes the entries that have expired. */
  public void removeExpired(long nowMicros) {
    expiresAtMicros.values().removeIf(until -> until <= nowMicros);
  }

  /** Returns the number of entries. */
  public int size() {
    return expiresAtMicros.size();
  }
}
