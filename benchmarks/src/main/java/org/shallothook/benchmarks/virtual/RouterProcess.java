package org.shallothook.benchmarks.virtual;

import java.util.function.LongFunction;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.router.RouterCommand;
import org.shallothook.coordination.router.RouterCore;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.coordination.router.RouterOptions;

/** A router: its real core, with virtual I/O. Not thread-safe. */
public final class RouterProcess extends VirtualProcess {
  private final VirtualFleet fleet;
  private final LongFunction<RouterOptions> options;
  private RouterCore core;
  private boolean isDrained;

  RouterProcess(
      VirtualFleet fleet, String name, String failureDomain, LongFunction<RouterOptions> options) {
    super(name, failureDomain, fleet.queue());
    this.fleet = fleet;
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
    after(0, () -> handle(new RouterEvent.Tick()));
    tickEvery(RouterCore.TICK_INTERVAL_MICROS, () -> handle(new RouterEvent.Tick()));
  }

  @Override
  void onStop() {
    fleet.callers().routerLost(name(), incarnation());
  }

  void handle(RouterEvent event) {
    long now = queue().nowMicros();
    fleet.observer().routerEvent(name(), event, now);
    if (isUp()) {
      core.handle(event, now);
    }
  }

  @Override
  void onMessage(Envelope envelope) {
    handle(new RouterEvent.PeerMessageReceived(envelope));
  }

  @Override
  void onPeerDown(String peer, boolean wasConnected) {
    handle(wasConnected ? new RouterEvent.PeerLost(peer) : new RouterEvent.PeerUnreachable(peer));
  }

  private void carryOut(RouterCommand command) {
    fleet.observer().routerCommand(name(), command, queue().nowMicros());
    if (!isUp()) {
      return;
    }
    if (command instanceof RouterCommand.SendToPeer send) {
      Envelope envelope =
          new Envelope(name(), incarnation(), send.configurationOffset(), send.message());
      fleet.network().send(this, send.peer(), envelope);
    } else if (command instanceof RouterCommand.ReadLog read) {
      readLog(read);
    } else if (command instanceof RouterCommand.AppendLog append) {
      append(append);
    } else if (command instanceof RouterCommand.ReadInstances read) {
      fleet
          .platform()
          .readInstances(
              this, read.knownVersion(), list -> handle(new RouterEvent.InstancesRead(list)));
    } else if (command instanceof RouterCommand.Drained) {
      isDrained = true;
    } else if (!(command instanceof RouterCommand.PeersChanged)) {
      fleet.callers().answer(this, command);
    }
  }

  private void readLog(RouterCommand.ReadLog read) {
    fleet
        .platform()
        .readLog(
            this,
            read.stream(),
            read.fromOffset(),
            page ->
                handle(
                    page.<RouterEvent>map(RouterEvent.LogRead::new)
                        .orElseGet(() -> new RouterEvent.LogReadFailed(read.stream()))));
  }

  private void append(RouterCommand.AppendLog append) {
    fleet
        .platform()
        .append(
            this,
            append.stream(),
            append.payload(),
            offset -> handle(new RouterEvent.LogAppended(append.token(), offset)),
            mayHave -> handle(new RouterEvent.LogAppendFailed(append.token(), mayHave)));
  }
}
