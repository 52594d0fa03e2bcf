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
 * Sees every event and command of a scene and injects the planned faults.
 *
 * <p>Not thread-safe.
 */
final class StrikeWatch implements FleetObserver {
  private final Scene scene;
  private final Set<Strike> planned;
  private final Map<Step, Integer> seen = new EnumMap<>(Step.class);
  private final ScenePromises promises;
  private boolean isInjecting;

  StrikeWatch(Scene scene, List<Strike> strikes, ScenePromises promises) {
    this.scene = scene;
    this.planned = new LinkedHashSet<>(strikes);
    this.promises = promises;
  }

  /** Returns the strikes whose step has not occurred often enough. */
  Set<Strike> pending() {
    return Set.copyOf(planned);
  }

  @Override
  public void routerEvent(String router, RouterEvent event, long nowMicros) {
    scene.noteRouterEvent(router, event);
    note(new Occurrence(router, true, event));
  }

  @Override
  public void routerCommand(String router, RouterCommand command, long nowMicros) {
    promises.onRouterCommand(router, command);
    note(new Occurrence(router, true, command));
  }

  @Override
  public void sidecarEvent(String sidecar, SidecarEvent event, long nowMicros) {
    scene.noteSidecarEvent(sidecar, event);
    note(new Occurrence(sidecar, false, event));
  }

  @Override
  public void sidecarCommand(String sidecar, SidecarCommand command, long nowMicros) {
    promises.onSidecarCommand(sidecar, command, nowMicros);
    note(new Occurrence(sidecar, false, command));
  }

  private void note(Occurrence occurrence) {
    if (!scene.isWatching() || isInjecting) {
      return;
    }
    for (Step step : Step.values()) {
      if (step.matches(occurrence)) {
        strike(step, seen.merge(step, 1, Integer::sum), occurrence);
      }
    }
  }

  private void strike(Step step, int count, Occurrence occurrence) {
    for (Strike strike : List.copyOf(planned)) {
      if (strike.step() == step && strike.occurrence() == count) {
        planned.remove(strike);
        isInjecting = true;
        strike.fault().inject(scene, occurrence);
        isInjecting = false;
      }
    }
  }
}
