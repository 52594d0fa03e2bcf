package org.shallothook.coordination.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Requests that crash the servers that run them, known by their content.
 *
 * <p>Pattern answered: a caller sends a request again that has crashed a server. Whatever was at a
 * server whose connections break is a suspect; the crash counts against it once the server is found
 * down right after. A request that has been answered cannot be the cause, which clears bystanders.
 *
 * <p>Invariant: the same crash, by its name, counts once against a request. Not thread-safe.
 */
final class CrashRegister {
  /** Crashes after which a request runs no more, as many as one fleet may be made to bear. */
  private static final int MOST_CRASHES = 3;

  /** Time between a broken connection and the proof that its server is down, in microseconds. */
  private static final long PROOF_MICROS = 1_000_000;

  private final long quarantineMicros;
  private final Map<Long, Strikes> byContent = new HashMap<>();
  private final Map<String, List<Suspect>> suspects = new HashMap<>();

  /** A request that was at a server when a connection broke. */
  record Suspect(long contentHash, String request, long brokenAtMicros) {}

  private static final class Strikes {
    private final Set<String> crashes = new HashSet<>();
    private long untilMicros;
  }

  CrashRegister(long quarantineMicros) {
    this.quarantineMicros = quarantineMicros;
  }

  /** Returns whether a request has crashed too many servers to run again. */
  boolean isBarred(long contentHash, long nowMicros) {
    Strikes strikes = byContent.get(contentHash);
    return strikes != null
        && strikes.crashes.size() >= MOST_CRASHES
        && nowMicros < strikes.untilMicros;
  }

  /** Takes in that a server broke the connection of a request. */
  void onBroken(String server, long contentHash, String request, long nowMicros) {
    suspects
        .computeIfAbsent(server, name -> new ArrayList<>())
        .add(new Suspect(contentHash, request, nowMicros));
  }

  /** Takes in that a server is down, and returns the requests that this counts against. */
  List<Suspect> onDown(String server, long nowMicros) {
    List<Suspect> found = suspects.remove(server);
    if (found == null) {
      return List.of();
    }
    List<Suspect> recent =
        found.stream().filter(one -> nowMicros - one.brokenAtMicros() < PROOF_MICROS).toList();
    recent.forEach(one -> count(one.contentHash(), one.request(), nowMicros));
    return recent;
  }

  /** Counts a crash, by the name that every router knows it under. */
  void count(long contentHash, String crash, long nowMicros) {
    Strikes strikes = byContent.computeIfAbsent(contentHash, hash -> new Strikes());
    strikes.crashes.add(crash);
    strikes.untilMicros = nowMicros + quarantineMicros;
  }

  /** Takes in that a request was answered. */
  void onAnswered(long contentHash) {
    byContent.remove(contentHash);
  }

  /** Drops what is too old to matter. */
  void forget(long nowMicros) {
    byContent.values().removeIf(strikes -> nowMicros >= strikes.untilMicros);
    suspects
        .values()
        .removeIf(
            list ->
                list.stream().allMatch(one -> nowMicros - one.brokenAtMicros() >= PROOF_MICROS));
  }
}
