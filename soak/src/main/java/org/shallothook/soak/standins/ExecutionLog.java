package org.shallothook.soak.standins;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Requests that the servers have executed, as the ground truth for checking guarantees, and the
 * violations found.
 *
 * <p>Thread-safe.
 */
public final class ExecutionLog {
  private final Map<String, List<String>> executions = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();

  /** Records that a server has started to execute a request. */
  void recordExecution(String request, String server) {
    executions.computeIfAbsent(request, id -> new CopyOnWriteArrayList<>()).add(server);
  }

  /** Records a violated guarantee. */
  public void recordViolation(String guarantee, String detail) {
    violations.add(guarantee + ": " + detail);
  }

  /** Returns the servers that have started to execute a request. */
  public List<String> executionsOf(String request) {
    return executions.getOrDefault(request, List.of());
  }

  /** Returns the violated guarantees, with details. */
  public List<String> violations() {
    return List.copyOf(violations);
  }
}
