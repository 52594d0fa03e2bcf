package org.shallothook.soak.standins;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * What servers have seen: the truth that promises are checked against.
 *
 * <p>Thread-safe.
 */
public final class Ledger {
  private final Map<String, List<String>> runs = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();

  /** Notes that a server has begun to work on a request. */
  void ran(String request, String server) {
    runs.computeIfAbsent(request, id -> new CopyOnWriteArrayList<>()).add(server);
  }

  /** Notes a promise that was broken. */
  public void violated(String promise, String detail) {
    violations.add(promise + ": " + detail);
  }

  /** Returns the servers that have begun to work on a request. */
  public List<String> runsOf(String request) {
    return runs.getOrDefault(request, List.of());
  }

  /** Returns the promises that were broken. */
  public List<String> violations() {
    return List.copyOf(violations);
  }
}
