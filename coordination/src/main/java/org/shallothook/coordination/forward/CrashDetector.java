package org.shallothook.coordination.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.shallothook.coordination.quarantine.RequestSignature;

/**
 * Finds out whether a server has crashed after it broke connections, and which requests may be the
 * cause.
 *
 * <p>A broken connection does not show why it broke. The first one to a server therefore starts a
 * check whether the server still accepts connections. Requests whose connection breaks until the
 * result arrives, and shortly after it, belong to the same crash.
 *
 * <p>Invariant: at most one check per server is open. Not thread-safe.
 */
final class CrashDetector {
  /** Time after which a check without a result counts as failed, in microseconds. */
  private static final long CHECK_TIMEOUT_MICROS = 500_000;

  /** Time after a crash during which broken connections to the server belong to it. */
  private static final long AFTERMATH_MICROS = 1_000_000;

  private final Map<String, Check> checks = new HashMap<>();
  private final Map<String, Long> crashedAtMicros = new HashMap<>();

  /**
   * A request that may have caused the crash of its server.
   *
   * @param request identifier of the request
   */
  record Suspect(String request, RequestSignature signature) {}

  /**
   * Result of a check.
   *
   * @param crash identifier of the crash, the same for all routers
   * @param suspects requests that may have caused the crash
   * @param waiting numbers of the requests that wait for the result
   */
  record Result(String crash, List<Suspect> suspects, List<Long> waiting) {}

  private record Check(
      String crash, long expiresAtMicros, List<Suspect> suspects, List<Long> waiting) {}

  /** Returns whether the server of a broken connection is known to have crashed just now. */
  boolean hasCrashed(String server, long nowMicros) {
    Long crashedAt = crashedAtMicros.get(server);
    return crashedAt != null && nowMicros - crashedAt < AFTERMATH_MICROS;
  }

  /**
   * Records a broken connection; returns whether a check of the server must be started.
   *
   * @param crash identifier of the crash, if it was one
   */
  boolean onConnectionBroken(String server, String crash, long nowMicros) {
    boolean isNew = !checks.containsKey(server);
    if (isNew) {
      checks.put(
          server,
          new Check(crash, nowMicros + CHECK_TIMEOUT_MICROS, new ArrayList<>(), new ArrayList<>()));
    }
    return isNew;
  }

  /** Returns whether a check of the server is open. */
  boolean isChecking(String server) {
    return checks.containsKey(server);
  }

  /** Adds a request that may be the cause, if the open check finds that the server has crashed. */
  void addSuspect(String server, Suspect suspect) {
    checks.get(server).suspects().add(suspect);
  }

  /** Lets a request wait for the result of the open check. */
  void addWaiting(String server, long request) {
    checks.get(server).waiting().add(request);
  }

  /** Ends the check of a server. */
  Result onChecked(String server, boolean hasCrashed, long nowMicros) {
    if (hasCrashed) {
      crashedAtMicros.put(server, nowMicros);
    }
    Check check = checks.remove(server);
    return check == null
        ? new Result(server, List.of(), List.of())
        : new Result(check.crash(), check.suspects(), check.waiting());
  }

  /** Forgets old crashes, and returns the servers whose check has had no result in time. */
  List<String> removeExpired(long nowMicros) {
    crashedAtMicros.values().removeIf(at -> nowMicros - at >= AFTERMATH_MICROS);
    return checks.entrySet().stream()
        .filter(check -> nowMicros >= check.getValue().expiresAtMicros())
        .map(Map.Entry::getKey)
        .toList();
  }
}
