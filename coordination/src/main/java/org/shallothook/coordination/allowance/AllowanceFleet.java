package org.shallothook.coordination.allowance;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The other routers, and when each has last announced its use of allowances.
 *
 * <p>Invariant: holds only routers of the fleet. Not thread-safe.
 */
final class AllowanceFleet {
  private static final long SECOND_MICROS = 1_000_000;

  /** Shortest time between two announcements of a router, in microseconds. */
  private static final long MIN_INTERVAL_MICROS = 200_000;

  /** Time between two announcements for each router of the fleet, in microseconds. */
  private static final long INTERVAL_PER_ROUTER_MICROS = 15_000;

  /** Shortest silence after which a router is assumed to have no demand, in microseconds. */
  private static final long MIN_SILENT_MICROS = 3 * SECOND_MICROS;

  private static final int SILENT_INTERVALS = 3;

  /** Shortest silence of the others after which a router falls back, in microseconds. */
  private static final long MIN_FALLBACK_MICROS = 2 * SECOND_MICROS;

  private static final int FALLBACK_INTERVALS = 2;

  private static final int EXTRAPOLATION_INTERVALS = 2;

  private final Map<String, Optional<Heard>> others = new HashMap<>();
  private Optional<Long> knownSinceMicros = Optional.empty();

  /** Incarnation of a router and the time of its last announcement. */
  private record Heard(long incarnation, long atMicros) {}

  /**
   * An announcement of a router of the fleet.
   *
   * @param previousMicros time of the previous one of the same incarnation; empty for the first
   */
  record Arrival(Optional<Long> previousMicros) {}

  void onRouters(String self, List<String> names, long nowMicros) {
    knownSinceMicros = knownSinceMicros.or(() -> Optional.of(nowMicros));
    others.keySet().retainAll(new HashSet<>(names));
    names.forEach(name -> others.putIfAbsent(name, Optional.empty()));
    others.remove(self);
  }

  /**
   * Records an announcement; returns empty if it must be ignored, because its sender is no router
   * of the fleet or has restarted since.
   */
  Optional<Arrival> onAnnouncement(String router, long incarnation, long nowMicros) {
    Optional<Heard> known = others.get(router);
    if (known == null || known.filter(heard -> heard.incarnation() > incarnation).isPresent()) {
      return Optional.empty();
    }
    others.put(router, Optional.of(new Heard(incarnation, nowMicros)));
    return Optional.of(
        new Arrival(
            known.filter(heard -> heard.incarnation() == incarnation).map(Heard::atMicros)));
  }

  /** Records that allowances begin to apply; before, no router announced anything. */
  void onFirstAllowance(long nowMicros) {
    knownSinceMicros = knownSinceMicros.map(since -> nowMicros);
  }

  boolean isKnown() {
    return knownSinceMicros.isPresent();
  }

  /** Returns whether the others have not had the time yet to make themselves heard. */
  boolean isNew(long nowMicros) {
    return knownSinceMicros.filter(since -> nowMicros - since < fallbackMicros()).isPresent();
  }

  /** Returns the number of routers, including this one. */
  int size() {
    return others.size() + 1;
  }

  boolean contains(String router) {
    return others.containsKey(router);
  }

  long intervalMicros() {
    return Math.max(MIN_INTERVAL_MICROS, size() * INTERVAL_PER_ROUTER_MICROS);
  }

  /**
   * Returns the longest time for which the rate of use of a router is extrapolated; up to 33
   * routers that is less than a second.
   */
  long extrapolationMicros() {
    return EXTRAPOLATION_INTERVALS * intervalMicros();
  }

  /** Returns the silence after which a router is assumed to have no demand. */
  long silentAfterMicros() {
    return Math.max(MIN_SILENT_MICROS, SILENT_INTERVALS * intervalMicros());
  }

  boolean isSilent(String router, long nowMicros) {
    return !isHeardWithin(
        others.getOrDefault(router, Optional.empty()), silentAfterMicros(), nowMicros);
  }

  /** Returns the number of routers that are known but silent; they may still use a part. */
  long silent(long nowMicros) {
    return others.size() - heardWithin(silentAfterMicros(), nowMicros);
  }

  /** Returns whether this router hears from fewer than half of the others. */
  boolean isCutOff(long nowMicros) {
    return 2 * heardWithin(fallbackMicros(), nowMicros) < others.size();
  }

  private long fallbackMicros() {
    return Math.max(MIN_FALLBACK_MICROS, FALLBACK_INTERVALS * intervalMicros());
  }

  /**
   * Returns when the router that has been silent for longest was heard; empty if there is none that
   * was ever heard.
   */
  Optional<Long> oldestMicros() {
    return others.values().stream()
        .flatMap(Optional::stream)
        .map(Heard::atMicros)
        .min(Long::compare);
  }

  private long heardWithin(long micros, long nowMicros) {
    return others.values().stream()
        .filter(heard -> isHeardWithin(heard, micros, nowMicros))
        .count();
  }

  private static boolean isHeardWithin(Optional<Heard> heard, long micros, long nowMicros) {
    return heard.filter(last -> nowMicros - last.atMicros() <= micros).isPresent();
  }
}
