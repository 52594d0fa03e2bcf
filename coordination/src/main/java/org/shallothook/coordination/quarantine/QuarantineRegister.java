package org.shallothook.coordination.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Requests that may not run, each until its deadline.
 *
 * <p>Invariant: the latest deadline heard of a fingerprint holds; at most {@link #MAXIMUM_ENTRIES}
 * entries, the oldest given up first. Not thread-safe.
 */
public final class QuarantineRegister {
  /** Greatest number of requests in quarantine. */
  public static final int MAXIMUM_ENTRIES = 4_096;

  private final Map<String, Long> untilMicros = new LinkedHashMap<>();

  /** Adds a request and returns whether this was news. */
  public boolean add(String fingerprint, long until, long nowMicros) {
    Long known = untilMicros.get(fingerprint);
    if (until <= nowMicros || (known != null && known >= until)) {
      return false;
    }
    untilMicros.remove(fingerprint);
    untilMicros.put(fingerprint, until);
    if (untilMicros.size() > MAXIMUM_ENTRIES) {
      untilMicros.remove(untilMicros.keySet().iterator().next());
    }
    return true;
  }

  /** Returns the end of a request's quarantine, if it is in force. */
  public Optional<Long> untilOf(String fingerprint, long nowMicros) {
    return Optional.ofNullable(untilMicros.get(fingerprint)).filter(until -> until > nowMicros);
  }

  /** Forgets quarantines whose deadline has passed. */
  public void forgetPassed(long nowMicros) {
    untilMicros.values().removeIf(until -> until <= nowMicros);
  }

  /** Returns the number of entries. */
  public int size() {
    return untilMicros.size();
  }
}
