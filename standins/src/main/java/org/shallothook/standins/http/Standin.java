package org.shallothook.standins.http;

import com.google.gson.JsonObject;
import org.shallothook.standins.fault.InjectedFaults;
import org.shallothook.standins.fault.RequestFault;

/**
 * A model behind its HTTP form.
 *
 * <p>All methods are called on the one event loop of the process.
 */
public interface Standin {

  /** Time of an event that is not due. */
  long NEVER = Long.MAX_VALUE;

  /**
   * Answers one request, now or later.
   *
   * @throws IllegalArgumentException if the request is malformed
   */
  void handle(StandinExchange exchange, long nowMicros);

  /** Returns the faults of the address. */
  InjectedFaults disturbances();

  /** Applies a fault that only this kind knows and returns whether it knows it. */
  boolean applyFault(String fault, FaultRequest request, long nowMicros);

  /** Returns counters and state for tests. */
  JsonObject state(long nowMicros);

  /** Decides on one request before it is handled. */
  default RequestFault fateOf(StandinExchange exchange, long nowMicros) {
    return disturbances().faultOf(exchange.hasEffect(), nowMicros);
  }

  /** Returns whether the address is closed. */
  default boolean isDown(long nowMicros) {
    return disturbances().isDown(nowMicros);
  }

  /** Carries out what is due. */
  default void advance(long nowMicros) {}

  /** Returns when {@link #advance} is next needed, or {@link #NEVER}. */
  default long nextEventMicros() {
    return NEVER;
  }
}
