package org.shallothook.coordination.quarantine;

import java.util.LinkedHashMap;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Optional;
import org.shallothook.coordination.quarantine.CrashEvidence.Quarantine;
import org.shallothook.state.collection.BoundedMaps;

/**
 * The crashes that count against one key, and the quarantine that follows from them.
 *
 * <p>Invariant: each crash is kept once, at most {@link #MAXIMUM_CRASHES} of them. Times are in
 * microseconds on the decision clock. Not thread-safe.
 */
final class Suspicion {
  /** Maximum number of crashes kept; more do not change a decision. */
  private static final int MAXIMUM_CRASHES = 16;

  /** Time within which crashes may have a common cause, in microseconds. */
  private static final long COMMON_CAUSE_MICROS = 200_000;

  /**
   * Time between two trials of a key that another quarantined key may account for, in microseconds.
   */
  private static final long TRIAL_INTERVAL_MICROS = 1_000_000;

  private final Map<String, Long> crashes = new LinkedHashMap<>();

  /** Not used before the first crash: a quarantine of another process does not name it. */
  private KeyKind kind = KeyKind.PART;

  private Optional<Quarantine> quarantine = Optional.empty();
  private boolean isOnProbation;
  private int assessedCrashes;
  private long nextTrialMicros;
  private long expiresAtMicros;

  /** Adds a crash of a server that ran a request with the key. */
  void onCrash(String crash, long atMicros, KeyKind keyKind, long newExpiresAtMicros) {
    kind = keyKind;
    crashes.putIfAbsent(crash, atMicros);
    BoundedMaps.removeEldest(crashes, MAXIMUM_CRASHES);
    expiresAtMicros = newExpiresAtMicros;
  }

  int crashCount() {
    return crashes.size();
  }

  /** Returns whether all crashes of another suspicion count against this one as well. */
  boolean covers(Suspicion other) {
    return crashes.keySet().containsAll(other.crashes.keySet());
  }

  /** Returns whether this one accounts for all crashes of another suspicion and more. */
  boolean explains(Suspicion other) {
    return crashes.size() > other.crashes.size() && covers(other);
  }

  /** Returns the time from the first known crash to the last. */
  long spanMicros() {
    LongSummaryStatistics times =
        crashes.values().stream().mapToLong(Long::longValue).summaryStatistics();
    return crashes.isEmpty() ? 0 : times.getMax() - times.getMin();
  }

  /** Returns the number of crashes that count, as not all of those at the same moment do. */
  int countedCrashes(boolean mayBeInUse) {
    int maximumPerMoment = kind.countedPerMoment(mayBeInUse);
    int count = 0;
    int countOfMoment = 0;
    long momentEndMicros = Long.MIN_VALUE;
    for (long atMicros : crashes.values().stream().sorted().toList()) {
      if (atMicros >= momentEndMicros) {
        countOfMoment = 0;
        momentEndMicros = atMicros + COMMON_CAUSE_MICROS;
      }
      if (countOfMoment < maximumPerMoment) {
        countOfMoment++;
        count++;
      }
    }
    return count;
  }

  /** Returns how many crashes must count for a quarantine. */
  int requiredCrashes(boolean wasClearedRecently) {
    return isOnProbation ? 1 : kind.requiredCrashes(wasClearedRecently);
  }

  /**
   * Notes that the known crashes are assessed; returns whether they have changed since the last
   * time.
   */
  boolean markAssessed() {
    boolean hasChanged = crashes.size() != assessedCrashes;
    assessedCrashes = crashes.size();
    return hasChanged;
  }

  Optional<Quarantine> quarantine() {
    return quarantine;
  }

  boolean isQuarantined() {
    return quarantine.isPresent();
  }

  void startQuarantine(long key, long untilMicros, long nowMicros) {
    quarantine = Optional.of(new Quarantine(key, nowMicros, untilMicros, crashes.size()));
  }

  /** Ends the quarantine; the next crash starts it again unless the suspicion expires before. */
  void endQuarantine(long newExpiresAtMicros) {
    quarantine = Optional.empty();
    crashes.clear();
    isOnProbation = true;
    expiresAtMicros = newExpiresAtMicros;
  }

  /** Returns whether a request may be let through to see how it ends, and takes that permit. */
  boolean tryTrial(long nowMicros) {
    if (nowMicros < nextTrialMicros) {
      return false;
    }
    nextTrialMicros = nowMicros + TRIAL_INTERVAL_MICROS;
    return true;
  }

  /** Returns whether the crashes are too old to count; those of a quarantine are not. */
  boolean isExpired(long nowMicros) {
    return quarantine.isEmpty() && nowMicros >= expiresAtMicros;
  }
}
