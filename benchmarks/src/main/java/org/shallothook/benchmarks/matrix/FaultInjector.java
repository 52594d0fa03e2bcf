package org.shallothook.benchmarks.matrix;

import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.shallothook.benchmarks.virtual.FleetObserver;
import org.shallothook.coordination.router.RouterCommand;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;

/**
 * Observes every event and command of a scenario, counts the occurrences of each step and injects
 * the planned faults. Ignores events and commands that an injection itself causes.
 *
 * <p>Not thread-safe.
 */
final class FaultInjector implements FleetObserver {
  private final Scenario scenario;
  private final Set<FaultInjection> planned;
  private final Map<Step, Integer> seen = new EnumMap<>(Step.class);
  private final ScenarioGuarantees guarantees;
  private boolean isInjecting;

  FaultInjector(Scenario scenario, List<FaultInjection> injections, ScenarioGuarantees guarantees) {
    this.scenario = scenario;
    this.planned = new LinkedHashSet<>(injections);
    this.guarantees = guarantees;
  }

  /** Returns the injections not yet made because their step has not occurred often enough. */
  Set<FaultInjection> pending() {
    return Set.copyOf(planned);
  }

  @Override
  public void routerEvent(String router, RouterEvent event, long nowMicros) {
    scenario.repeatRouterEvent(router, event);
    countOccurrence(new Occurrence(router, true, event));
  }

  @Override
  public void routerCommand(String router, RouterCommand command, long nowMicros) {
    guarantees.onRouterCommand(router, command);
    countOccurrence(new Occurrence(router, true, command));
  }

  @Override
  public void sidecarEvent(String sidecar, SidecarEvent event, long nowMicros) {
    scenario.repeatSidecarEvent(sidecar, event);
    countOccurrence(new Occurrence(sidecar, false, event));
  }

  @Override
  public void sidecarCommand(String sidecar, SidecarCommand command, long nowMicros) {
    guarantees.onSidecarCommand(sidecar, command, nowMicros);
    countOccurrence(new Occurrence(sidecar, false, command));
  }

  private void countOccurrence(Occurrence occurrence) {
    if (!scenario.isInjectionEnabled() || isInjecting) {
      return;
    }
    for (Step step : Step.values()) {
      if (step.matches(occurrence)) {
        inject(step, seen.merge(step, 1, Integer::sum), occurrence);
      }
    }
  }

  private void inject(Step step, int count, Occurrence occurrence) {
    for (FaultInjection injection : List.copyOf(planned)) {
      if (injection.step() == step && injection.occurrence() == count) {
        planned.remove(injection);
        isInjecting = true;
        injection.fault().inject(scenario, occurrence);
        isInjecting = false;
      }
    }
  }
}
