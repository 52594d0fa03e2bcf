package org.shallothook.coordination.sidecar;

import java.util.List;
import java.util.Optional;
import org.shallothook.state.membership.EngineRole;

/** An engine that takes orders to change its role, with or without a check of their numbers. */
final class FakeRoleEngine {
  final boolean checksFencing;
  EngineRole initialRole = EngineRole.MIXED;
  EngineRole role = EngineRole.MIXED;
  OrderHandling orderHandling = OrderHandling.ANSWERED;
  int orders;
  private long lastFencing;
  private int incarnation = 1;

  FakeRoleEngine(boolean checksFencing) {
    this.checksFencing = checksFencing;
  }

  /** What becomes of orders. */
  enum OrderHandling {
    ANSWERED,
    LOST_AFTER_EFFECT,
    LOST_WITHOUT_EFFECT,
    REFUSED
  }

  /** Takes an order and returns what its sender sees. */
  Optional<Boolean> handle(SidecarCommand.OrderRole order) {
    orders++;
    if (orderHandling == OrderHandling.REFUSED) {
      return Optional.of(false);
    }
    if (orderHandling == OrderHandling.LOST_WITHOUT_EFFECT) {
      return Optional.empty();
    }
    boolean isOld = checksFencing && order.fencing() < lastFencing;
    if (!isOld) {
      lastFencing = order.fencing();
      role = order.role();
    }
    return orderHandling == OrderHandling.ANSWERED ? Optional.of(!isOld) : Optional.empty();
  }

  void restart() {
    incarnation++;
    lastFencing = 0;
    role = initialRole;
  }

  SidecarEvent.EngineStatus status() {
    return new SidecarEvent.EngineStatus(
        "e-" + incarnation,
        List.of(SidecarHarness.VERSION),
        0,
        2,
        checksFencing ? lastFencing : -1,
        false,
        role);
  }
}
