package org.shallothook.coordination.origin;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The software versions of each service in the order in which routers have declared them in the
 * store. The oldest one is the service's base version: a stream that nobody has recorded was begun
 * at it.
 *
 * <p>A version whose servers have not been listed for as long as a stream may be resumed is
 * withdrawn. If it comes back it is declared anew, as the newest.
 *
 * <p>Invariant: a declaration or withdrawal is decided from all that the store has, as it is
 * written only if the store has nothing else by then. All times are in microseconds on the decision
 * clock. Not thread-safe.
 */
public final class SoftwareVersions {
  /**
   * Time beyond the longest stream after which an unlisted version is withdrawn, in microseconds;
   * other routers may have learned later that its servers have left.
   */
  static final long WITHDRAWAL_MARGIN_MICROS = 10_000_000;

  private final Map<String, Map<String, Long>> positions = new HashMap<>();
  private final Map<SoftwareVersion, Long> listedSinceMicros = new LinkedHashMap<>();
  private final Map<SoftwareVersion, Long> unlistedSinceMicros = new HashMap<>();
  private final Map<SoftwareVersion, Long> lostPositions = new LinkedHashMap<>();
  private long lostUntilMicros = Long.MIN_VALUE;

  /** Applies a declaration read from the store; a withdrawal has no position. */
  public void onDeclared(SoftwareVersion version, Optional<Long> position, long nowMicros) {
    Map<String, Long> declared =
        positions.computeIfAbsent(version.service(), added -> new TreeMap<>());
    if (position.isPresent()) {
      declared.put(version.version(), position.get());
      if (!listedSinceMicros.containsKey(version)) {
        unlistedSinceMicros.putIfAbsent(version, nowMicros);
      }
    } else {
      declared.remove(version.version());
      unlistedSinceMicros.remove(version);
    }
    if (declared.isEmpty()) {
      positions.remove(version.service());
    }
  }

  /** Applies the versions of all listed servers. */
  public void onListed(Set<SoftwareVersion> listed, long nowMicros) {
    for (SoftwareVersion known : listedSinceMicros.keySet()) {
      if (!listed.contains(known) && isDeclared(known)) {
        unlistedSinceMicros.putIfAbsent(known, nowMicros);
      }
    }
    listedSinceMicros.keySet().retainAll(listed);
    for (SoftwareVersion version : listed) {
      listedSinceMicros.putIfAbsent(version, nowMicros);
      unlistedSinceMicros.remove(version);
    }
  }

  /** Records that entries may be missing for another reason than that their servers have left. */
  public void onUncertain(long nowMicros) {
    unlistedSinceMicros.replaceAll((version, since) -> nowMicros);
  }

  /**
   * Records that the store was restored from a copy, which may lack declarations. They are declared
   * again at their positions.
   *
   * @param untilMicros time until which the streams may be resumed that are open now
   */
  public void onRestored(long untilMicros) {
    lostUntilMicros = untilMicros;
    positions.forEach(
        (service, declared) ->
            declared.forEach(
                (version, position) ->
                    lostPositions.put(new SoftwareVersion(service, version), position)));
  }

  /** Returns the base version of a service; empty if none is declared. */
  public Optional<String> base(String service) {
    return positions.getOrDefault(service, Map.of()).entrySet().stream()
        .min(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey);
  }

  /**
   * Returns whether a version is certain to be the base version: all declarations of before a time
   * are known, and its servers have been listed here from then on, so nobody has withdrawn it.
   */
  public boolean isCertainBase(SoftwareVersion version, long completeUntilMicros) {
    Long listedSince = listedSinceMicros.get(version);
    return listedSince != null
        && listedSince <= completeUntilMicros
        && base(version.service()).filter(version.version()::equals).isPresent();
  }

  /** Returns the only version of a service that is declared or listed, if there is just one. */
  public Optional<String> only(String service) {
    boolean isSingle = positions.getOrDefault(service, Map.of()).size() == 1;
    Optional<String> base = base(service);
    boolean hasOthers =
        listedSinceMicros.keySet().stream()
            .filter(listed -> listed.service().equals(service))
            .anyMatch(listed -> !base.equals(Optional.of(listed.version())));
    return isSingle && !hasOthers ? base : Optional.empty();
  }

  /** Returns whether any version of a service is declared or listed. */
  boolean knows(String service) {
    return positions.containsKey(service)
        || listedSinceMicros.keySet().stream().anyMatch(listed -> listed.service().equals(service));
  }

  /** Returns the latest time at which a listed version appeared; empty if none is listed. */
  public Optional<Long> latestListingMicros() {
    return listedSinceMicros.values().stream().max(Long::compare);
  }

  /**
   * Returns what the store should say else: the positions of listed versions to declare, and empty
   * values for versions to withdraw.
   *
   * @param resumableMicros longest time for which a stream may be resumed
   */
  public Map<SoftwareVersion, Optional<Long>> changesDue(long resumableMicros, long nowMicros) {
    Map<SoftwareVersion, Optional<Long>> changes = new LinkedHashMap<>();
    unlistedSinceMicros.forEach(
        (version, since) -> {
          if (nowMicros - since >= resumableMicros + WITHDRAWAL_MARGIN_MICROS) {
            changes.put(version, Optional.empty());
          }
        });
    if (nowMicros >= lostUntilMicros) {
      lostPositions.clear();
    }
    lostPositions.forEach(
        (version, position) -> {
          if (!isDeclared(version)) {
            changes.put(version, Optional.of(position));
          }
        });
    Map<String, Long> latest = new HashMap<>();
    for (SoftwareVersion version : listedSinceMicros.keySet()) {
      boolean isKnown = isDeclared(version) || changes.containsKey(version);
      if (!isKnown && version.isDeclarable()) {
        long position =
            latest.merge(
                version.service(),
                newestPosition(version.service()) + 1,
                (previous, first) -> previous + 1);
        changes.put(version, Optional.of(position));
      }
    }
    return changes;
  }

  private boolean isDeclared(SoftwareVersion version) {
    return positions.getOrDefault(version.service(), Map.of()).containsKey(version.version());
  }

  private long newestPosition(String service) {
    long lost =
        lostPositions.entrySet().stream()
            .filter(one -> one.getKey().service().equals(service))
            .mapToLong(Map.Entry::getValue)
            .max()
            .orElse(0);
    return positions.getOrDefault(service, Map.of()).values().stream()
        .max(Long::compare)
        .map(known -> Math.max(known, lost))
        .orElse(lost);
  }
}
