package org.shallothook.standins.service;

import com.google.gson.JsonObject;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.shallothook.standins.fault.InjectedFaults;

/**
 * Simulates a plain service that executes every call, repeated ones included, and counts executions
 * by {@code Idempotency-Key}.
 *
 * <p>Invariant: a call refused for a stale fencing token is not executed. Not thread-safe.
 */
public final class ServiceModel {
  private static final int OK = 200;
  private static final int PRECONDITION_FAILED = 412;

  private final String name;
  private final boolean checksFencing;
  private final InjectedFaults disturbances = new InjectedFaults();
  private final Map<String, Integer> executions = new TreeMap<>();
  private final Map<String, Long> greatestFencingTokens = new TreeMap<>();
  private int incarnation = 1;
  private boolean isLeaving;
  private long fenced;

  /**
   * Creates a service.
   *
   * @param name name of the instance
   * @param checksFencing whether calls with a stale fencing token are refused
   */
  public ServiceModel(String name, boolean checksFencing) {
    this.name = name;
    this.checksFencing = checksFencing;
  }

  /** Returns the injected faults. */
  public InjectedFaults disturbances() {
    return disturbances;
  }

  /** Executes a call, or refuses it with status 412 if its fencing token is stale. */
  public ServiceResponse call(String path, String idempotencyKey, OptionalLong fencing) {
    if (checksFencing && fencing.isPresent() && isStale(idempotencyKey, fencing.getAsLong())) {
      fenced++;
      return new ServiceResponse(PRECONDITION_FAILED, "{\"error\":\"old fencing number\"}");
    }
    int count = executions.merge(idempotencyKey, 1, Integer::sum);
    JsonObject body = new JsonObject();
    body.addProperty("path", path);
    body.addProperty("key", idempotencyKey);
    body.addProperty("execution", count);
    return new ServiceResponse(OK, body.toString());
  }

  private boolean isStale(String idempotencyKey, long fencing) {
    long greatest = greatestFencingTokens.merge(idempotencyKey, fencing, Math::max);
    return fencing < greatest;
  }

  /** Restarts as a new incarnation. Execution counts are kept. */
  public void restart() {
    incarnation++;
  }

  /** Sets whether the service reports that it is leaving. */
  public void setLeaving(boolean leaving) {
    isLeaving = leaving;
  }

  /** Returns whether the service reports that it is leaving. */
  public boolean isLeaving() {
    return isLeaving;
  }

  /** Returns the incarnation identifier, which changes at each restart. */
  public String incarnation() {
    return name + "-" + incarnation;
  }

  /** Returns the number of executions by idempotency key; calls without one count under "". */
  public Map<String, Integer> executions() {
    return Map.copyOf(executions);
  }

  /** Returns the number of calls refused for a stale fencing token. */
  public long fenced() {
    return fenced;
  }
}
