package org.shallothook.coordination.sidecar;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.membership.EngineRole;
import org.shallothook.state.request.AttemptId;

/**
 * Tests that a sidecar brings its engine to the configured role and reports that role to routers.
 */
final class RoleChangeTest {
  private static final long SECOND_MICROS = 1_000_000;

  /**
   * Maximum time until an upstream that is leaving or changes its role gets no more work that it
   * does not accept, as required by the users.
   */
  private static final long MAXIMUM_ROLE_CHANGE_MICROS = 3 * SECOND_MICROS;

  private static RoleChangeSimulation reservingSimulation(boolean checksFencing) {
    RoleChangeSimulation simulation = new RoleChangeSimulation(checksFencing);
    simulation.publish(1);
    return simulation;
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void roleIsOrderedOnceAndReportedOnceReadBack(boolean checksFencing) {
    RoleChangeSimulation simulation = new RoleChangeSimulation(checksFencing);
    SidecarHarness sidecar = simulation.startSidecar();
    simulation.publish(0);
    simulation.run(MAXIMUM_ROLE_CHANGE_MICROS);
    assertThat(simulation.engine.orders).isEqualTo(0);

    simulation.publish(1);
    simulation.run(MAXIMUM_ROLE_CHANGE_MICROS);
    assertThat(simulation.engine.role).isEqualTo(EngineRole.PRIORITY);
    assertThat(RoleChangeSimulation.reportedRole(sidecar)).isEqualTo(EngineRole.PRIORITY);
    simulation.run(60 * SECOND_MICROS);
    assertThat(simulation.engine.orders).isEqualTo(1);

    simulation.publish(0);
    simulation.run(MAXIMUM_ROLE_CHANGE_MICROS);
    assertThat(simulation.engine.role).isEqualTo(EngineRole.MIXED);
    assertThat(RoleChangeSimulation.reportedRole(sidecar)).isEqualTo(EngineRole.MIXED);
    assertThat(simulation.engine.orders).isEqualTo(2);
  }

  @ParameterizedTest
  @CsvSource({"LOST_AFTER_EFFECT, 1, 1", "LOST_WITHOUT_EFFECT, 2, 4"})
  void orderWithLostResponseIsRepeatedUntilRoleIsReadBack(
      FakeRoleEngine.OrderHandling handling, int minimumOrders, int maximumOrders) {
    RoleChangeSimulation simulation = reservingSimulation(true);
    SidecarHarness sidecar = simulation.startSidecar();
    simulation.engine.orderHandling = handling;
    simulation.run(2 * SECOND_MICROS);
    if (handling == FakeRoleEngine.OrderHandling.LOST_WITHOUT_EFFECT) {
      assertThat(RoleChangeSimulation.reportedRole(sidecar)).isEqualTo(EngineRole.MIXED);
    }
    simulation.engine.orderHandling = FakeRoleEngine.OrderHandling.ANSWERED;
    simulation.run(2 * SECOND_MICROS);
    assertThat(RoleChangeSimulation.reportedRole(sidecar)).isEqualTo(EngineRole.PRIORITY);
    simulation.run(60 * SECOND_MICROS);
    assertThat(simulation.engine.orders).isAtLeast(minimumOrders);
    assertThat(simulation.engine.orders).isAtMost(maximumOrders);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void delayedOrderOfEarlierProcessIsReverted(boolean checksFencing) {
    RoleChangeSimulation simulation = reservingSimulation(checksFencing);
    SidecarHarness earlier = simulation.startSidecar();
    simulation.run(SECOND_MICROS);
    assertThat(simulation.engine.role).isEqualTo(EngineRole.PRIORITY);
    simulation.suspended.add(earlier);
    simulation.publish(0);
    SidecarHarness later = simulation.startSidecar();
    simulation.run(SECOND_MICROS);
    assertThat(later.commands(SidecarCommand.OrderRole.class))
        .containsExactly(new SidecarCommand.OrderRole(2, EngineRole.MIXED));

    simulation.engine.handle(earlier.commands(SidecarCommand.OrderRole.class).get(0));
    assertThat(simulation.engine.role)
        .isEqualTo(checksFencing ? EngineRole.MIXED : EngineRole.PRIORITY);
    simulation.run(MAXIMUM_ROLE_CHANGE_MICROS);
    assertThat(simulation.engine.role).isEqualTo(EngineRole.MIXED);
    assertThat(RoleChangeSimulation.reportedRole(later)).isEqualTo(EngineRole.MIXED);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void resumedProcessCatchesUpAndOrdersTheSameRole(boolean checksFencing) {
    RoleChangeSimulation simulation = reservingSimulation(checksFencing);
    SidecarHarness earlier = simulation.startSidecar();
    simulation.run(SECOND_MICROS);
    simulation.suspended.add(earlier);
    simulation.publish(0);
    SidecarHarness later = simulation.startSidecar();
    simulation.run(10 * SECOND_MICROS);
    simulation.suspended.clear();
    simulation.run(10 * SECOND_MICROS);
    int orders = simulation.engine.orders;
    simulation.run(60 * SECOND_MICROS);
    assertThat(simulation.engine.orders).isEqualTo(orders);
    assertThat(simulation.engine.role).isEqualTo(EngineRole.MIXED);
    assertThat(RoleChangeSimulation.reportedRole(later)).isEqualTo(EngineRole.MIXED);
  }

  @ParameterizedTest
  @EnumSource(
      value = EngineRole.class,
      names = {"MIXED", "OTHER"})
  void restartedEngineIsOrderedAgainEvenWithoutTheLog(EngineRole initialRole) {
    RoleChangeSimulation simulation = reservingSimulation(true);
    SidecarHarness sidecar = simulation.startSidecar();
    simulation.run(MAXIMUM_ROLE_CHANGE_MICROS);
    simulation.isLogDown = true;
    simulation.engine.initialRole = initialRole;
    simulation.engine.restart();
    simulation.run(MAXIMUM_ROLE_CHANGE_MICROS);
    assertThat(simulation.engine.role).isEqualTo(EngineRole.PRIORITY);
    assertThat(RoleChangeSimulation.reportedRole(sidecar)).isEqualTo(EngineRole.PRIORITY);
    assertThat(simulation.engine.orders).isEqualTo(2);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void processThatStartsWithoutTheLogKeepsTheRole(boolean checksFencing) {
    RoleChangeSimulation simulation = reservingSimulation(checksFencing);
    simulation.suspended.add(simulation.startSidecar());
    simulation.engine.role = EngineRole.PRIORITY;
    simulation.isLogDown = true;
    SidecarHarness later = simulation.startSidecar();
    simulation.run(60 * SECOND_MICROS);
    assertThat(simulation.engine.orders).isEqualTo(0);
    assertThat(RoleChangeSimulation.reportedRole(later)).isEqualTo(EngineRole.PRIORITY);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void roleChangeDoesNotInterruptRunningStream(boolean checksFencing) {
    RoleChangeSimulation simulation = new RoleChangeSimulation(checksFencing);
    SidecarHarness sidecar = simulation.startSidecar();
    simulation.run(SECOND_MICROS);
    AttemptId attempt = SidecarHarness.attempt("r1");
    assertThat(sidecar.send(SidecarHarness.offer("r1"))).isEmpty();
    sidecar.tokens(attempt, 0, 3);
    simulation.publish(1);
    simulation.run(MAXIMUM_ROLE_CHANGE_MICROS);
    assertThat(RoleChangeSimulation.reportedRole(sidecar)).isEqualTo(EngineRole.PRIORITY);
    sidecar.tokens(attempt, 3, 2);
    sidecar.end(attempt, 5);
    assertThat(sidecar.commands(SidecarCommand.CancelAnswer.class)).isEmpty();
    assertThat(sidecar.sent(PeerMessage.Failed.class)).isEmpty();
    assertThat(sidecar.sent(PeerMessage.Ended.class)).hasSize(1);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void refusedOrdersAreRepeatedWithBackOff(boolean checksFencing) {
    RoleChangeSimulation simulation = reservingSimulation(checksFencing);
    SidecarHarness sidecar = simulation.startSidecar();
    simulation.engine.orderHandling = FakeRoleEngine.OrderHandling.REFUSED;
    simulation.run(300 * SECOND_MICROS);
    assertThat(simulation.engine.orders).isAtMost(12);
    assertThat(RoleChangeSimulation.reportedRole(sidecar)).isEqualTo(EngineRole.MIXED);
    assertThat(sidecar.counters.get("orders.role-refused")).isEqualTo(simulation.engine.orders);
  }
}
