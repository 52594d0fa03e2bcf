package org.shallothook.coordination.forward;

import java.util.HashMap;
import java.util.Map;
import org.shallothook.coordination.retry.RetryBudget;

/**
 * Limits this router to its share of the retries that the fleet may send to a service.
 *
 * <p>The ratio of retries to requests applies to each router separately. The fixed slack beyond it
 * is divided by the number of routers, so that no router needs to know how many retries the others
 * sent.
 *
 * <p>Invariant: even if every router spends its whole share, the fleet stays within its budget as
 * long as the number of routers is not underestimated. Not thread-safe.
 */
public final class FleetRetryBudget {
  /** Share of the allowance to use, as the fleet's windows are not aligned with this router's. */
  private static final double SAFETY_FACTOR = 0.8;

  private final double ratio;
  private final double slack;
  private final long windowMicros;
  private final Map<String, RetryBudget> byService = new HashMap<>();
  private int routers = 1;

  FleetRetryBudget(double ratio, double slack, long windowMicros) {
    this.ratio = ratio;
    this.slack = slack;
    this.windowMicros = windowMicros;
  }

  /**
   * Divides the slack among this many routers from now on; retries already spent still count. The
   * count never decreases.
   */
  void onRouterCount(int count) {
    if (count > routers) {
      routers = count;
      byService.values().forEach(budget -> budget.setMinimum(slackPerRouter()));
    }
  }

  void onRequest(String service, long nowMicros) {
    budget(service).onSuccess(nowMicros);
  }

  boolean tryRetry(String service, long nowMicros) {
    return budget(service).tryAcquire(nowMicros);
  }

  private RetryBudget budget(String service) {
    return byService.computeIfAbsent(
        service, name -> new RetryBudget(SAFETY_FACTOR * ratio, slackPerRouter(), windowMicros));
  }

  private int slackPerRouter() {
    return (int) (SAFETY_FACTOR * slack / routers);
  }
}
