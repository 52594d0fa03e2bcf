package org.shallothook.benchmarks.virtual;

import java.util.function.Function;
import java.util.function.LongFunction;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.sidecar.LogCoordinationOptions;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarCore;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarOptions;

/** A sidecar: its real core, with virtual I/O, beside its upstream. Not thread-safe. */
public final class VirtualSidecar extends CoreProcess<SidecarEvent> {
  private static final ProcessEvents<SidecarEvent> EVENTS =
      new ProcessEvents<>(
          SidecarEvent.Tick::new,
          SidecarEvent.PeerMessageReceived::new,
          SidecarEvent.PeerLost::new,
          SidecarEvent.PeerUnreachable::new,
          SidecarEvent.InstancesRead::new,
          SidecarEvent.LogRead::new,
          SidecarEvent.LogReadFailed::new,
          SidecarEvent.LogAppended::new,
          SidecarEvent.LogAppendFailed::new);

  private final LongFunction<SidecarOptions> options;
  private final LogCoordinationOptions coordination;
  private final Counters counters;
  private final UpstreamLink upstream;
  private SidecarCore core;
  private boolean isDrained;

  VirtualSidecar(
      VirtualFleet fleet,
      String name,
      String failureDomain,
      LongFunction<SidecarOptions> options,
      LogCoordinationOptions coordination,
      Counters counters,
      Function<VirtualSidecar, UpstreamLink> upstream) {
    super(fleet, name, failureDomain, EVENTS);
    this.options = options;
    this.coordination = coordination;
    this.counters = counters;
    this.upstream = upstream.apply(this);
  }

  /** Returns the core of the running incarnation, for its queries. */
  public SidecarCore core() {
    return core;
  }

  /** Returns whether the running incarnation has drained. */
  public boolean isDrained() {
    return isDrained;
  }

  UpstreamLink upstream() {
    return upstream;
  }

  @Override
  void onStart() {
    isDrained = false;
    long started = incarnation();
    core =
        new SidecarCore(
            options.apply(started),
            coordination,
            command -> {
              if (isUp() && incarnation() == started) {
                carryOut(command);
              }
            },
            counters);
    startTicks(SidecarCore.TICK_INTERVAL_MICROS);
  }

  @Override
  void onStop() {
    upstream.sidecarStopped();
  }

  @Override
  void handle(SidecarEvent event) {
    long now = queue().nowMicros();
    fleet().observer().sidecarEvent(name(), event, now);
    if (isUp()) {
      core.handle(event, now);
    }
  }

  private void carryOut(SidecarCommand command) {
    fleet().observer().sidecarCommand(name(), command, queue().nowMicros());
    if (!isUp()) {
      return;
    }
    if (command instanceof SidecarCommand.SendToPeer send) {
      send(send.peer(), send.message(), send.configurationOffset());
    } else if (command instanceof SidecarCommand.ReadLog read) {
      readLog(read.stream(), read.fromOffset());
    } else if (command instanceof SidecarCommand.AppendLog append) {
      append(append.token(), append.stream(), append.payload());
    } else if (command instanceof SidecarCommand.ReadInstances read) {
      readInstances(read.knownVersion());
    } else if (command instanceof SidecarCommand.Drained) {
      isDrained = true;
    } else {
      upstream.carryOut(command);
    }
  }
}
