package org.shallothook.benchmarks.virtual;

import java.util.List;
import java.util.OptionalLong;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.standins.fault.RequestFault;
import org.shallothook.standins.service.ServiceModel;
import org.shallothook.standins.service.ServiceResponse;

/** A plain service beside its sidecar. Not thread-safe. */
final class ServiceLink implements UpstreamLink {
  private static final long SERVICE_MICROS = 5_000;
  private static final long RESTART_MICROS = 1_000_000;
  private static final int MAXIMUM_RUNNING = 16;
  private static final int UNAVAILABLE = 503;
  private static final String JSON = "application/json";

  private final VirtualFleet fleet;
  private final VirtualSidecar sidecar;
  private final ServiceModel model;

  ServiceLink(VirtualFleet fleet, VirtualSidecar sidecar, ServiceModel model) {
    this.fleet = fleet;
    this.sidecar = sidecar;
    this.model = model;
  }

  @Override
  public void carryOut(SidecarCommand command) {
    if (command instanceof SidecarCommand.CallService call) {
      reach(() -> call(call));
    } else if (command instanceof SidecarCommand.ReadEngineStatus) {
      reach(this::readStatus);
    }
  }

  private void reach(Runnable action) {
    long arrival = now() + fleet.latencies().toUpstream();
    fleet.queue().at(model.disturbances().resumedAtMicros(arrival), action);
  }

  private long now() {
    return fleet.queue().nowMicros();
  }

  private void answer(long serviceMicros, SidecarEvent event) {
    long delay = model.disturbances().responseAtMicros(now()) - now();
    sidecar.after(
        serviceMicros + fleet.latencies().toUpstream() + delay, () -> sidecar.handle(event));
  }

  private void call(SidecarCommand.CallService call) {
    if (model.disturbances().isDown(now())) {
      answer(0, new SidecarEvent.ServiceFailed(call.attempt(), false));
      return;
    }
    RequestFault fault = model.disturbances().faultOf(true, now());
    if (fault == RequestFault.REFUSED) {
      answer(0, new SidecarEvent.ServiceAnswered(call.attempt(), UNAVAILABLE, JSON, "{}"));
      return;
    }
    if (fault == RequestFault.DROPPED) {
      answer(0, new SidecarEvent.ServiceFailed(call.attempt(), true));
      return;
    }
    OptionalLong fencing = call.fencing().map(OptionalLong::of).orElse(OptionalLong.empty());
    ServiceResponse result = model.call(call.path(), call.idempotencyKey().orElse(""), fencing);
    fleet.ledger().called(sidecar.name(), call, result.status(), now());
    answer(
        SERVICE_MICROS,
        fault == RequestFault.ANSWER_LOST
            ? new SidecarEvent.ServiceFailed(call.attempt(), true)
            : new SidecarEvent.ServiceAnswered(
                call.attempt(), result.status(), JSON, result.body()));
  }

  private void readStatus() {
    if (model.disturbances().isDown(now())) {
      answer(0, new SidecarEvent.EngineUnreachable());
      return;
    }
    answer(
        0,
        new SidecarEvent.EngineStatus(
            model.incarnation(), List.of(), 0, MAXIMUM_RUNNING, -1, model.isLeaving()));
  }

  @Override
  public void sidecarStopped() {}

  @Override
  public void crash() {
    model.restart();
    model.disturbances().setDownUntil(now() + RESTART_MICROS);
  }

  @Override
  public void setLeaving(boolean isLeaving) {
    model.setLeaving(isLeaving);
  }
}
