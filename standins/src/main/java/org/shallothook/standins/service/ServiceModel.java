package org.shallothook.standins.service;

import com.google.gson.JsonObject;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.shallothook.standins.fault.Disturbances;

/**
 * A plain service that carries out every call it gets and counts them by {@code Idempotency-Key}.
 *
 * <p>Invariant: a call refused for its fencing number is not carried out. Not thread-safe.
 */
public final class ServiceModel {
  private static final int OK = 200;
  private static final int PRECONDITION_FAILED = 412;

  private final String name;
  private final boolean checksFencing;
  private final Disturbances disturbances = new Disturbances();
  private final Map<String, Integer> executions = new TreeMap<>();
  private final Map<String, Long> greatestFencing = new TreeMap<>();
  private int incarnation = 1;
  private boolean isLeaving;
  private long fenced;

  /**
   * Creates a service.
   *
   * @param name name of the instance
   * @param checksFencing whether calls with an old fencing number are refused
   */
  public ServiceModel(String name, boolean checksFencing) {
    this.name = name;
    this.checksFencing = checksFencing;
  }

  /** Returns the faults in force. */
  public Disturbances disturbances() {
    return disturbances;
  }

  /** Carries out a call. */
  public ServiceAnswer call(String path, String idempotencyKey, OptionalLong fencing) {
    if (checksFencing && fencing.isPresent() && isOld(idempotencyKey, fencing.getAsLong())) {
      fenced++;
      return new ServiceAnswer(PRECONDITION_FAILED, "{\"error\":\"old fencing number\"}");
    }
    int count = executions.merge(idempotencyKey, 1, Integer::sum);
    JsonObject body = new JsonObject();
    body.addProperty("path", path);
    body.addProperty("key", idempotencyKey);
    body.addProperty("execution", count);
    return new ServiceAnswer(OK, body.toString());
  }

  private boolean isOld(String idempotencyKey, long fencing) {
    long greatest = greatestFencing.merge(idempotencyKey, fencing, Math::max);
    return fencing < greatest;
  }

  /** Becomes a new incarnation. What was carried out is still counted. */
  public void restart() {
    incarnation++;
  }

  /** Sets whether the service says that it is leaving. */
  public void setLeaving(boolean leaving) {
    isLeaving = leaving;
  }

  /** Returns whether the service says that it is leaving. */
  public boolean isLeaving() {
    return isLeaving;
  }

  /** Returns the incarnation, new after each restart. */
  public String incarnation() {
    return name + "-" + incarnation;
  }

  /** Returns how often each key was carried out; calls without a key count under the empty one. */
  public Map<String, Integer> executions() {
    return Map.copyOf(executions);
  }

  /** Returns the number of calls refused for an old fencing number. */
  public long fenced() {
    return fenced;
  }
}
