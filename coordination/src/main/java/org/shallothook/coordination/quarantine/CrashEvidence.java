package org.shallothook.coordination.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.shallothook.state.collection.BoundedMaps;

/**
 * Finds what requests that crash servers have in common, and quarantines it.
 *
 * <p>A key is the hash of a request's content or of a part of its prompt. A crash counts against
 * the keys of all requests that may have caused it. An answer that its server survived clears the
 * keys of its request: their crashes so far had another cause. A key is quarantined after several
 * crashes since it was last cleared, unless another key accounts for all of them and more.
 *
 * <pre>{@code
 * evidence.onCrash(crash, signature, nowMicros);
 * List<Assessment> assessed = evidence.decide(nowMicros);
 * Optional<Quarantine> refused = evidence.check(signature, nowMicros);
 * }</pre>
 *
 * <p>Invariants: each crash counts once against a key. Of crashes at the same moment, which may
 * have a common cause, no more count than {@link KeyKind} says for the key. At most {@link
 * #MAXIMUM_SUSPICIONS} keys with crashes and {@link #MAXIMUM_CLEARED} cleared keys are kept; the
 * oldest are evicted first. Not thread-safe.
 */
public final class CrashEvidence {
  /** Maximum number of keys with crashes. */
  static final int MAXIMUM_SUSPICIONS = 4_096;

  /** Maximum number of cleared keys, and of contents whose answers were survived. */
  static final int MAXIMUM_CLEARED = 8_192;

  /** Crashes from which on requests with a key are not repeated by the system itself. */
  private static final int SUSPECTED_CRASHES = 2;

  /** Time for which a key that was survived counts as having worked recently, in microseconds. */
  private static final long CLEARED_VALID_MICROS = 60_000_000;

  /**
   * Time for which answers must have been observed before a key without one counts as not in use,
   * in microseconds.
   */
  private static final long OBSERVATION_MICROS = 5_000_000;

  /** Number of latest crashes whose times are kept. */
  private static final int MAXIMUM_CRASH_TIMES = 512;

  private final long quarantineMicros;
  private final Map<Long, Suspicion> suspicions = new LinkedHashMap<>();
  private final Map<Long, Long> clearedAtMicros = new LinkedHashMap<>();

  /** Kept apart from cleared keys, which are not quarantined when another process asks for it. */
  private final Map<Long, Long> contentSurvivedAtMicros = new LinkedHashMap<>();

  private final Map<String, Long> crashedAtMicros = new LinkedHashMap<>();
  private final Set<Long> undecided = new HashSet<>();
  private Optional<Long> observedSinceMicros = Optional.empty();

  /**
   * A key whose requests are refused.
   *
   * @param key the key
   * @param sinceMicros when this process learned of the quarantine, in microseconds
   * @param untilMicros when it ends, in microseconds
   * @param crashes number of known crashes
   */
  public record Quarantine(long key, long sinceMicros, long untilMicros, int crashes) {}

  /**
   * What the crashes known so far say about a key.
   *
   * @param key the key
   * @param crashes number of known crashes
   * @param counted number of those that count; crashes with a common cause may not
   * @param required number that must count before the key is quarantined
   * @param spanMicros time from the first known crash to the last, in microseconds
   * @param quarantine the quarantine that has begun for them, if any
   */
  public record Assessment(
      long key,
      int crashes,
      int counted,
      int required,
      long spanMicros,
      Optional<Quarantine> quarantine) {}

  /**
   * Keys that no longer count as a cause of crashes.
   *
   * @param suspected keys that crashes had counted against
   * @param repeated those of them with several known crashes
   * @param quarantined those of them that were quarantined
   */
  public record Cleared(List<Long> suspected, List<Long> repeated, List<Long> quarantined) {}

  /**
   * Creates an empty collection of evidence.
   *
   * @param quarantineMicros duration of a quarantine, and time for which crashes are remembered, in
   *     microseconds
   */
  public CrashEvidence(long quarantineMicros) {
    this.quarantineMicros = quarantineMicros;
  }

  /**
   * Counts a crash against a request that may have caused it.
   *
   * @param crash identifier of the crash, the same for all requests and all routers
   */
  public void onCrash(String crash, RequestSignature signature, long nowMicros) {
    long atMicros = crashedAtMicros.computeIfAbsent(crash, name -> nowMicros);
    BoundedMaps.removeEldest(crashedAtMicros, MAXIMUM_CRASH_TIMES);
    signature.parts().forEach(part -> count(crash, atMicros, part, KeyKind.PART, nowMicros));
    count(crash, atMicros, signature.content(), KeyKind.CONTENT, nowMicros);
    BoundedMaps.removeEldest(suspicions, MAXIMUM_SUSPICIONS);
  }

  private void count(String crash, long atMicros, long key, KeyKind kind, long nowMicros) {
    suspicions
        .computeIfAbsent(key, added -> new Suspicion())
        .onCrash(crash, atMicros, kind, nowMicros + quarantineMicros);
    undecided.add(key);
  }

  /** Clears a request whose answer its server has survived. */
  public Cleared onSurvived(RequestSignature signature, long nowMicros) {
    BoundedMaps.putNewest(contentSurvivedAtMicros, signature.content(), nowMicros, MAXIMUM_CLEARED);
    signature.parts().forEach(part -> recordCleared(part, nowMicros));
    return removeSuspicions(signature.keys());
  }

  /** Clears keys that another process has cleared. */
  public Cleared onCleared(Collection<Long> keys, long nowMicros) {
    keys.forEach(key -> recordCleared(key, nowMicros));
    return removeSuspicions(keys);
  }

  /**
   * Adopts a quarantine that another process has decided on.
   *
   * @return whether it is adopted and was not known; a key that was cleared recently and has not
   *     been in a crash since is not quarantined
   */
  public boolean onQuarantined(long key, long untilMicros, long nowMicros) {
    if (untilMicros <= nowMicros || isCleared(key, nowMicros)) {
      return false;
    }
    Suspicion suspicion = suspicions.computeIfAbsent(key, added -> new Suspicion());
    if (suspicion.isQuarantined()) {
      return false;
    }
    suspicion.startQuarantine(key, Math.min(untilMicros, nowMicros + quarantineMicros), nowMicros);
    BoundedMaps.removeEldest(suspicions, MAXIMUM_SUSPICIONS);
    return true;
  }

  /** Returns whether a key was cleared recently and no crash counts against it since. */
  public boolean isCleared(long key, long nowMicros) {
    return wasClearedRecently(key, nowMicros) && !suspicions.containsKey(key);
  }

  /** Returns whether crashes count against any key of a request. */
  public boolean hasCrashes(RequestSignature signature) {
    return signature.keys().stream().anyMatch(suspicions::containsKey);
  }

  /** Returns whether a request is so likely to crash its server that it should not be repeated. */
  public boolean isSuspected(RequestSignature signature, long nowMicros) {
    return signature.keys().stream().anyMatch(key -> isSuspected(key, nowMicros));
  }

  private boolean isSuspected(long key, long nowMicros) {
    Suspicion suspicion = suspicions.get(key);
    return suspicion != null
        && (suspicion.isQuarantined()
            || suspicion.countedCrashes(mayBeInUse(key, nowMicros)) >= SUSPECTED_CRASHES);
  }

  /**
   * Returns the quarantine for which a request must be refused.
   *
   * <p>If another quarantined key, which the request does not have, accounts for the same crashes,
   * single requests are let through: their end shows which of the two is the cause.
   */
  public Optional<Quarantine> check(RequestSignature signature, long nowMicros) {
    List<Long> keys = signature.keys();
    for (long key : keys) {
      Suspicion suspicion = suspicions.get(key);
      boolean isRefused =
          suspicion != null && suspicion.isQuarantined() && !isTrial(suspicion, keys, nowMicros);
      if (isRefused) {
        return suspicion.quarantine();
      }
    }
    return Optional.empty();
  }

  /** Returns the quarantine that began after an open request had arrived, if any. */
  public Optional<Quarantine> quarantinedSince(RequestSignature signature, long arrivedMicros) {
    return signature.keys().stream()
        .map(suspicions::get)
        .filter(suspicion -> suspicion != null)
        .flatMap(suspicion -> suspicion.quarantine().stream())
        .filter(quarantine -> quarantine.sinceMicros() > arrivedMicros)
        .findFirst();
  }

  /**
   * Quarantines the keys on which the known crashes decide.
   *
   * @return the assessments of keys that were not quarantined before and whose crashes have changed
   *     since the last call, or that are quarantined now
   */
  public List<Assessment> decide(long nowMicros) {
    if (observedSinceMicros.isEmpty()) {
      observedSinceMicros = Optional.of(nowMicros);
    }
    List<Assessment> assessed = new ArrayList<>();
    for (long key : undecided) {
      Suspicion suspicion = suspicions.get(key);
      if (suspicion != null && !suspicion.isQuarantined()) {
        Assessment assessment = assess(key, suspicion, nowMicros);
        if (suspicion.markAssessed() || suspicion.isQuarantined()) {
          assessed.add(assessment);
        }
      }
    }
    undecided.clear();
    return assessed;
  }

  private Assessment assess(long key, Suspicion suspicion, long nowMicros) {
    int counted = suspicion.countedCrashes(mayBeInUse(key, nowMicros));
    int required = suspicion.requiredCrashes(wasClearedRecently(key, nowMicros));
    if (counted >= required && !isExplained(suspicion, suspicions.values())) {
      suspicion.startQuarantine(key, nowMicros + quarantineMicros, nowMicros);
    }
    return new Assessment(
        key,
        suspicion.crashCount(),
        counted,
        required,
        suspicion.spanMicros(),
        suspicion.quarantine());
  }

  /** Lifts the quarantines of keys whose crashes another quarantined key explains. */
  public Cleared liftExplained(long nowMicros) {
    List<Suspicion> quarantined =
        suspicions.values().stream().filter(Suspicion::isQuarantined).toList();
    List<Long> explained =
        quarantined.stream()
            .filter(one -> one.crashCount() > 0 && isExplained(one, quarantined))
            .map(one -> one.quarantine().orElseThrow().key())
            .toList();
    return onCleared(explained, nowMicros);
  }

  /** Returns all quarantines in force. */
  public List<Quarantine> quarantines() {
    return suspicions.values().stream()
        .flatMap(suspicion -> suspicion.quarantine().stream())
        .toList();
  }

  /**
   * Ends quarantines and removes crashes that have expired. A key whose quarantine has ended is on
   * probation: its next crash quarantines it again.
   *
   * @return keys whose quarantine has ended
   */
  public List<Long> removeExpired(long nowMicros) {
    suspicions.values().removeIf(suspicion -> suspicion.isExpired(nowMicros));
    List<Long> ended = new ArrayList<>();
    for (Suspicion suspicion : suspicions.values()) {
      Optional<Quarantine> quarantine = suspicion.quarantine();
      if (quarantine.filter(one -> nowMicros >= one.untilMicros()).isPresent()) {
        ended.add(quarantine.get().key());
        suspicion.endQuarantine(nowMicros + quarantineMicros);
      }
    }
    return ended;
  }

  /** Returns the number of keys that crashes count against. */
  int suspicionCount() {
    return suspicions.size();
  }

  /** Returns the number of cleared keys that are kept. */
  int clearedCount() {
    return clearedAtMicros.size();
  }

  /** Returns the number of contents that are kept as survived. */
  int survivedContentCount() {
    return contentSurvivedAtMicros.size();
  }

  private boolean isTrial(Suspicion suspicion, List<Long> keys, long nowMicros) {
    boolean hasOtherCause =
        suspicion.crashCount() > 0
            && suspicions.values().stream()
                .filter(Suspicion::isQuarantined)
                .filter(other -> !keys.contains(other.quarantine().orElseThrow().key()))
                .anyMatch(other -> other.covers(suspicion));
    return hasOtherCause && suspicion.tryTrial(nowMicros);
  }

  /** Returns whether requests with a key have been answered recently, or may have been. */
  private boolean mayBeInUse(long key, long nowMicros) {
    boolean hasObserved =
        observedSinceMicros.filter(since -> nowMicros - since >= OBSERVATION_MICROS).isPresent();
    return !hasObserved
        || isRecent(contentSurvivedAtMicros, key, nowMicros)
        || wasClearedRecently(key, nowMicros);
  }

  private boolean wasClearedRecently(long key, long nowMicros) {
    return isRecent(clearedAtMicros, key, nowMicros);
  }

  private static boolean isRecent(Map<Long, Long> survivedAtMicros, long key, long nowMicros) {
    Long survivedAt = survivedAtMicros.get(key);
    return survivedAt != null && nowMicros - survivedAt < CLEARED_VALID_MICROS;
  }

  private static boolean isExplained(Suspicion suspicion, Collection<Suspicion> others) {
    return others.stream().anyMatch(other -> other.explains(suspicion));
  }

  private void recordCleared(long key, long nowMicros) {
    BoundedMaps.putNewest(clearedAtMicros, key, nowMicros, MAXIMUM_CLEARED);
  }

  private Cleared removeSuspicions(Collection<Long> keys) {
    List<Long> suspected = new ArrayList<>();
    List<Long> repeated = new ArrayList<>();
    List<Long> quarantined = new ArrayList<>();
    for (long key : keys) {
      Suspicion removed = suspicions.remove(key);
      if (removed != null) {
        suspected.add(key);
        if (removed.crashCount() > 1) {
          repeated.add(key);
        }
        removed.quarantine().ifPresent(quarantine -> quarantined.add(key));
      }
    }
    if (!suspected.isEmpty()) {
      // A key that these had explained may now account for its crashes.
      undecided.addAll(suspicions.keySet());
    }
    return new Cleared(suspected, repeated, quarantined);
  }
}
