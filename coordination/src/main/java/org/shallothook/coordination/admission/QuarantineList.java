package org.shallothook.coordination.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Fingerprints of requests that must not run here before a deadline, as announced by routers.
 *
 * <p>Invariant: holds at most {@link #MAXIMUM_ENTRIES}; the oldest entry is evicted first. Not
 * thread-safe: used on the decision thread.
 */
final class QuarantineList {
  static final int MAXIMUM_ENTRIES = 1_024;

  private final Map<String, Long> deadlines =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAXIMUM_ENTRIES;
        }
      };

  void add(String fingerprint, long untilMicros) {
    deadlines.merge(fingerprint, untilMicros, Math::max);
  }

  boolean contains(String fingerprint, long nowMicros) {
    return untilMicros(fingerprint) > nowMicros;
  }

  /** Returns the end of a quarantine, in microseconds since the epoch, or 0 if there is none. */
  long untilMicros(String fingerprint) {
    return deadlines.getOrDefault(fingerprint, 0L);
  }

  void onTick(long nowMicros) {
    deadlines.values().removeIf(deadline -> deadline <= nowMicros);
  }
}
