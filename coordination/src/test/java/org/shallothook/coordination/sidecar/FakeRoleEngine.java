package org.shallothook.coordination.sidecar;

import java.util.List;
import java.util.Optional;
import org.shallothook.state.membership.EngineRole;

/**
 * Fake engine that accepts orders to change its role, and optionally checks their fencing tokens.
 */
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

  /** How the engine handles an order, and whether its response is lost. */
  enum OrderHandling {
    ANSWERED,
    LOST_AFTER_EFFECT,
    LOST_WITHOUT_EFFECT,
    REFUSED
  }

  /** Handles an order and returns the response as the sender receives it. */
  Optional<Boolean> handle(SidecarCommand.OrderRole order) {
    orders++;
    if (orderHandling == OrderHandling.REFUSED) {
      return Optional.of(false);
    }
    if (orderHandling == OrderHandling.LOST_WITHOUT_EFFECT) {
      return Optional.empty();
    }
    boolean isFenced = checksFencing && order.fencing() < lastFencing;
    if (!isFenced) {
      lastFencing = order.fencing();
      role = order.role();
    }
    return orderHandling == OrderHandling.ANSWERED ? Optional.of(!isFenced) : Optional.empty();
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
