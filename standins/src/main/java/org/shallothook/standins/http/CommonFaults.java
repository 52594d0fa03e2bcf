package org.shallothook.standins.http;

import org.shallothook.standins.fault.InjectedFaults;

/** Faults that every stand-in knows. Stateless and thread-safe. */
final class CommonFaults {
  private static final long MILLISECOND_MICROS = 1_000;

  private CommonFaults() {}

  /** Applies a fault and returns whether it is known. */
  static boolean apply(Standin standin, String fault, FaultRequest request, long nowMicros) {
    if (standin.applyFault(fault, request, nowMicros)) {
      return true;
    }
    InjectedFaults disturbances = standin.disturbances();
    switch (fault) {
      case "down" -> disturbances.setDownUntil(request.untilMicros(nowMicros));
      case "outage" -> disturbances.setOutageUntil(request.untilMicros(nowMicros));
      case "freeze" -> disturbances.setSuspendedUntil(request.untilMicros(nowMicros));
      case "delay" ->
          disturbances.setDelay(
              request.number("delay_millis", 0) * MILLISECOND_MICROS,
              request.untilMicros(nowMicros));
      case "lose-answers" -> disturbances.dropResponses(request.number("count", 1));
      case "drop-requests" -> disturbances.dropRequests(request.number("count", 1));
      case "clear" -> disturbances.clear();
      default -> {
        return false;
      }
    }
    return true;
  }
}
