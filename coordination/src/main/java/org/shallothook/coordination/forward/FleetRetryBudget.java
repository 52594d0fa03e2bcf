package org.shallothook.coordination.forward;

import java.util.HashMap;
import java.util.Map;
import org.shallothook.coordination.retry.RetryBudget;

/**
 * This router's share of the retries that all routers together may send to a service.
 *
 * <p>The share of requests holds for each router by itself; the fixed number beyond it is divided
 * by the number of routers, so that no router needs to know what the others have spent.
 *
 * <p>Invariant: were every router to spend all it may, the fleet would keep to its budget as long
 * as the number of routers is not underestimated. Not thread-safe.
 */
public final class FleetRetryBudget {
  /** Part of the allowance that is spent, since windows of the fleet slide past those here. */
  private static final double SAFE_PART = 0.8;

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

  /** Divides the fixed number among so many routers from now on; what was spent still counts. */
  void onRouters(int count) {
    if (count > routers) {
      routers = count;
      byService.values().forEach(budget -> budget.changeMinimum(ownSlack()));
    }
  }

  void onRequest(String service, long nowMicros) {
    budget(service).onSuccess(nowMicros);
  }

  boolean tryRetry(String service, long nowMicros) {
    return budget(service).tryRetry(nowMicros);
  }

  private RetryBudget budget(String service) {
    return byService.computeIfAbsent(
        service, name -> new RetryBudget(SAFE_PART * ratio, ownSlack(), windowMicros));
  }

  private int ownSlack() {
    return (int) (SAFE_PART * slack / routers);
  }
}
