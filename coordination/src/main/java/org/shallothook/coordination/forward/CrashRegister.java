package org.shallothook.coordination.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks requests that crash the servers that run them, identified by a hash of their content.
 *
 * <p>Handles callers that repeat a request that crashed a server: every request at a server whose
 * connections break is a suspect, and the crash counts against it if the server is found down right
 * after. A request that completes cannot be the cause, so its count is cleared.
 *
 * <p>Invariant: each crash, by its identifier, counts once against a request. Not thread-safe.
 */
final class CrashRegister {
  /**
   * Crashes after which a request is quarantined; limits the crashes that it causes in the fleet.
   */
  private static final int MAX_CRASHES = 3;

  /** Maximum time between a broken connection and finding the server down, in microseconds. */
  private static final long ATTRIBUTION_WINDOW_MICROS = 1_000_000;

  private final long quarantineMicros;
  private final Map<Long, CrashRecord> byContent = new HashMap<>();
  private final Map<String, List<Suspect>> suspects = new HashMap<>();

  /** A request whose connection to a server broke. */
  record Suspect(long contentHash, String request, long brokenAtMicros) {}

  private static final class CrashRecord {
    private final Set<String> crashes = new HashSet<>();
    private long expiresAtMicros;
  }

  CrashRegister(long quarantineMicros) {
    this.quarantineMicros = quarantineMicros;
  }

  /** Returns whether a request has crashed too many servers to run it again. */
  boolean isQuarantined(long contentHash, long nowMicros) {
    CrashRecord crashRecord = byContent.get(contentHash);
    return crashRecord != null
        && crashRecord.crashes.size() >= MAX_CRASHES
        && nowMicros < crashRecord.expiresAtMicros;
  }

  /** Records that a server broke the connection of a request. */
  void onConnectionBroken(String server, long contentHash, String request, long nowMicros) {
    suspects
        .computeIfAbsent(server, name -> new ArrayList<>())
        .add(new Suspect(contentHash, request, nowMicros));
  }

  /** Records that a server is down, and returns the requests that the crash counts against. */
  List<Suspect> onServerDown(String server, long nowMicros) {
    List<Suspect> candidates = suspects.remove(server);
    if (candidates == null) {
      return List.of();
    }
    List<Suspect> recent =
        candidates.stream()
            .filter(suspect -> nowMicros - suspect.brokenAtMicros() < ATTRIBUTION_WINDOW_MICROS)
            .toList();
    recent.forEach(suspect -> recordCrash(suspect.contentHash(), suspect.request(), nowMicros));
    return recent;
  }

  /** Counts a crash against a request, by the identifier that all routers use for the crash. */
  void recordCrash(long contentHash, String crash, long nowMicros) {
    CrashRecord crashRecord = byContent.computeIfAbsent(contentHash, hash -> new CrashRecord());
    crashRecord.crashes.add(crash);
    crashRecord.expiresAtMicros = nowMicros + quarantineMicros;
  }

  /** Clears the crashes of a request that completed. */
  void onCompleted(long contentHash) {
    byContent.remove(contentHash);
  }

  /**
   * Removes expired crashes and suspects. Returns the number of suspects of each server that was
   * not found down within the attribution window.
   */
  Map<String, Integer> removeExpired(long nowMicros) {
    byContent.values().removeIf(crashRecord -> nowMicros >= crashRecord.expiresAtMicros);
    Map<String, Integer> unconfirmed = new HashMap<>();
    suspects.forEach(
        (server, list) -> {
          if (list.stream()
              .allMatch(
                  suspect -> nowMicros - suspect.brokenAtMicros() >= ATTRIBUTION_WINDOW_MICROS)) {
            unconfirmed.put(server, list.size());
          }
        });
    suspects.keySet().removeAll(unconfirmed.keySet());
    return unconfirmed;
  }
}
