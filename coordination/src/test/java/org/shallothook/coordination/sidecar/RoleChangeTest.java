package org.shallothook.coordination.sidecar;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.membership.EngineRole;
import org.shallothook.state.request.AttemptId;

/** Changes of an engine's role by its sidecar, and what routers are told of them. */
final class RoleChangeTest {
  private static final long SECOND_MICROS = 1_000_000;

  /**
   * Bound of the users' on how soon a leaving or changed upstream gets no work it does not take.
   */
  private static final long MAXIMUM_ROLE_CHANGE_MICROS = 3 * SECOND_MICROS;

  private static RoleChangeSimulation reserved(boolean checksFencing) {
    RoleChangeSimulation scene = new RoleChangeSimulation(checksFencing);
    scene.publish(1);
    return scene;
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void roleIsOrderedOnceAndReportedOnceReadBack(boolean checksFencing) {
    RoleChangeSimulation scene = new RoleChangeSimulation(checksFencing);
    SidecarHarness sidecar = scene.startSidecar();
    scene.publish(0);
    scene.run(MAXIMUM_ROLE_CHANGE_MICROS);
    assertThat(scene.engine.orders).isEqualTo(0);

    scene.publish(1);
    scene.run(MAXIMUM_ROLE_CHANGE_MICROS);
    assertThat(scene.engine.role).isEqualTo(EngineRole.PRIORITY);
    assertThat(RoleChangeSimulation.reportedRole(sidecar)).isEqualTo(EngineRole.PRIORITY);
    scene.run(60 * SECOND_MICROS);
    assertThat(scene.engine.orders).isEqualTo(1);

    scene.publish(0);
    scene.run(MAXIMUM_ROLE_CHANGE_MICROS);
    assertThat(scene.engine.role).isEqualTo(EngineRole.MIXED);
    assertThat(RoleChangeSimulation.reportedRole(sidecar)).isEqualTo(EngineRole.MIXED);
    assertThat(scene.engine.orders).isEqualTo(2);
  }

  @ParameterizedTest
  @CsvSource({"LOST_AFTER_EFFECT, 1, 1", "LOST_WITHOUT_EFFECT, 2, 4"})
  void orderWithLostResponseIsRepeatedUntilRoleIsReadBack(
      FakeRoleEngine.OrderHandling answer, int fewest, int most) {
    RoleChangeSimulation scene = reserved(true);
    SidecarHarness sidecar = scene.startSidecar();
    scene.engine.orderHandling = answer;
    scene.run(2 * SECOND_MICROS);
    if (answer == FakeRoleEngine.OrderHandling.LOST_WITHOUT_EFFECT) {
      assertThat(RoleChangeSimulation.reportedRole(sidecar)).isEqualTo(EngineRole.MIXED);
    }
    scene.engine.orderHandling = FakeRoleEngine.OrderHandling.ANSWERED;
    scene.run(2 * SECOND_MICROS);
    assertThat(RoleChangeSimulation.reportedRole(sidecar)).isEqualTo(EngineRole.PRIORITY);
    scene.run(60 * SECOND_MICROS);
    assertThat(scene.engine.orders).isAtLeast(fewest);
    assertThat(scene.engine.orders).isAtMost(most);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void delayedOrderOfEarlierProcessIsReverted(boolean checksFencing) {
    RoleChangeSimulation scene = reserved(checksFencing);
    SidecarHarness earlier = scene.startSidecar();
    scene.run(SECOND_MICROS);
    assertThat(scene.engine.role).isEqualTo(EngineRole.PRIORITY);
    scene.suspended.add(earlier);
    scene.publish(0);
    SidecarHarness later = scene.startSidecar();
    scene.run(SECOND_MICROS);
    assertThat(later.commands(SidecarCommand.OrderRole.class))
        .containsExactly(new SidecarCommand.OrderRole(2, EngineRole.MIXED));

    scene.engine.handle(earlier.commands(SidecarCommand.OrderRole.class).get(0));
    assertThat(scene.engine.role).isEqualTo(checksFencing ? EngineRole.MIXED : EngineRole.PRIORITY);
    scene.run(MAXIMUM_ROLE_CHANGE_MICROS);
    assertThat(scene.engine.role).isEqualTo(EngineRole.MIXED);
    assertThat(RoleChangeSimulation.reportedRole(later)).isEqualTo(EngineRole.MIXED);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void resumedProcessCatchesUpAndOrdersTheSameRole(boolean checksFencing) {
    RoleChangeSimulation scene = reserved(checksFencing);
    SidecarHarness earlier = scene.startSidecar();
    scene.run(SECOND_MICROS);
    scene.suspended.add(earlier);
    scene.publish(0);
    SidecarHarness later = scene.startSidecar();
    scene.run(10 * SECOND_MICROS);
    scene.suspended.clear();
    scene.run(10 * SECOND_MICROS);
    int orders = scene.engine.orders;
    scene.run(60 * SECOND_MICROS);
    assertThat(scene.engine.orders).isEqualTo(orders);
    assertThat(scene.engine.role).isEqualTo(EngineRole.MIXED);
    assertThat(RoleChangeSimulation.reportedRole(later)).isEqualTo(EngineRole.MIXED);
  }

  @ParameterizedTest
  @EnumSource(
      value = EngineRole.class,
      names = {"MIXED", "OTHER"})
  void restartedEngineIsOrderedAgainEvenWithoutTheLog(EngineRole installed) {
    RoleChangeSimulation scene = reserved(true);
    SidecarHarness sidecar = scene.startSidecar();
    scene.run(MAXIMUM_ROLE_CHANGE_MICROS);
    scene.isLogDown = true;
    scene.engine.initialRole = installed;
    scene.engine.restart();
    scene.run(MAXIMUM_ROLE_CHANGE_MICROS);
    assertThat(scene.engine.role).isEqualTo(EngineRole.PRIORITY);
    assertThat(RoleChangeSimulation.reportedRole(sidecar)).isEqualTo(EngineRole.PRIORITY);
    assertThat(scene.engine.orders).isEqualTo(2);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void processThatStartsWithoutTheLogKeepsTheRole(boolean checksFencing) {
    RoleChangeSimulation scene = reserved(checksFencing);
    scene.suspended.add(scene.startSidecar());
    scene.engine.role = EngineRole.PRIORITY;
    scene.isLogDown = true;
    SidecarHarness later = scene.startSidecar();
    scene.run(60 * SECOND_MICROS);
    assertThat(scene.engine.orders).isEqualTo(0);
    assertThat(RoleChangeSimulation.reportedRole(later)).isEqualTo(EngineRole.PRIORITY);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void roleChangeDoesNotInterruptRunningStream(boolean checksFencing) {
    RoleChangeSimulation scene = new RoleChangeSimulation(checksFencing);
    SidecarHarness sidecar = scene.startSidecar();
    scene.run(SECOND_MICROS);
    AttemptId attempt = SidecarHarness.attempt("r1");
    assertThat(sidecar.send(SidecarHarness.offer("r1"))).isEmpty();
    sidecar.tokens(attempt, 0, 3);
    scene.publish(1);
    scene.run(MAXIMUM_ROLE_CHANGE_MICROS);
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
    RoleChangeSimulation scene = reserved(checksFencing);
    SidecarHarness sidecar = scene.startSidecar();
    scene.engine.orderHandling = FakeRoleEngine.OrderHandling.REFUSED;
    scene.run(300 * SECOND_MICROS);
    assertThat(scene.engine.orders).isAtMost(12);
    assertThat(RoleChangeSimulation.reportedRole(sidecar)).isEqualTo(EngineRole.MIXED);
    assertThat(sidecar.counters.get("orders.role-refused")).isEqualTo(scene.engine.orders);
  }
}
