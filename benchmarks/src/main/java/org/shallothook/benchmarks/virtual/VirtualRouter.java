package org.shallothook.benchmarks.virtual;

import java.util.function.LongFunction;
import org.shallothook.coordination.router.RouterCommand;
import org.shallothook.coordination.router.RouterCore;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.coordination.router.RouterOptions;

/** A router: its real core, with virtual I/O. Not thread-safe. */
public final class VirtualRouter extends CoreProcess<RouterEvent> {
  private static final ProcessEvents<RouterEvent> EVENTS =
      new ProcessEvents<>(
          RouterEvent.Tick::new,
          RouterEvent.PeerMessageReceived::new,
          RouterEvent.PeerLost::new,
          RouterEvent.PeerUnreachable::new,
          RouterEvent.InstancesRead::new,
          RouterEvent.LogRead::new,
          RouterEvent.LogReadFailed::new,
          RouterEvent.LogAppended::new,
          RouterEvent.LogAppendFailed::new);

  private final LongFunction<RouterOptions> options;
  private RouterCore core;
  private boolean isDrained;

  VirtualRouter(
      VirtualFleet fleet, String name, String failureDomain, LongFunction<RouterOptions> options) {
    super(fleet, name, failureDomain, EVENTS);
    this.options = options;
  }

  /** Returns the core of the running incarnation, for its queries. */
  public RouterCore core() {
    return core;
  }

  /** Returns whether the running incarnation has drained. */
  public boolean isDrained() {
    return isDrained;
  }

  @Override
  void onStart() {
    isDrained = false;
    long started = incarnation();
    core =
        new RouterCore(
            options.apply(started),
            command -> {
              if (isUp() && incarnation() == started) {
                carryOut(command);
              }
            });
    startTicks(RouterCore.TICK_INTERVAL_MICROS);
  }

  @Override
  void onStop() {
    fleet().callers().routerLost(name(), incarnation());
  }

  @Override
  void handle(RouterEvent event) {
    long now = queue().nowMicros();
    fleet().observer().routerEvent(name(), event, now);
    if (isUp()) {
      core.handle(event, now);
    }
  }

  private void carryOut(RouterCommand command) {
    fleet().observer().routerCommand(name(), command, queue().nowMicros());
    if (!isUp()) {
      return;
    }
    if (command instanceof RouterCommand.SendToPeer send) {
      send(send.peer(), send.message(), send.configurationOffset());
    } else if (command instanceof RouterCommand.ReadLog read) {
      readLog(read.stream(), read.fromOffset());
    } else if (command instanceof RouterCommand.AppendLog append) {
      append(append.token(), append.stream(), append.payload());
    } else if (command instanceof RouterCommand.ReadInstances read) {
      readInstances(read.knownVersion());
    } else if (command instanceof RouterCommand.Drained) {
      isDrained = true;
    } else if (!(command instanceof RouterCommand.PeersChanged)) {
      fleet().callers().answer(this, command);
    }
  }
}
