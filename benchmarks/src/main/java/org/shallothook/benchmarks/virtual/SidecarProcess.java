package org.shallothook.benchmarks.virtual;

import java.util.function.Function;
import java.util.function.LongFunction;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.sidecar.AgreementOptions;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarCore;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarOptions;

/** A sidecar: its real core, with virtual I/O, beside its upstream. Not thread-safe. */
public final class SidecarProcess extends VirtualProcess {
  private final VirtualFleet fleet;
  private final LongFunction<SidecarOptions> options;
  private final AgreementOptions agreement;
  private final Counters counters;
  private final UpstreamLink upstream;
  private SidecarCore core;
  private boolean isDrained;

  SidecarProcess(
      VirtualFleet fleet,
      String name,
      String failureDomain,
      LongFunction<SidecarOptions> options,
      AgreementOptions agreement,
      Counters counters,
      Function<SidecarProcess, UpstreamLink> upstream) {
    super(name, failureDomain, fleet.queue());
    this.fleet = fleet;
    this.options = options;
    this.agreement = agreement;
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
            agreement,
            command -> {
              if (isUp() && incarnation() == started) {
                carryOut(command);
              }
            },
            counters);
    after(0, () -> handle(new SidecarEvent.Tick()));
    tickEvery(SidecarCore.TICK_INTERVAL_MICROS, () -> handle(new SidecarEvent.Tick()));
  }

  @Override
  void onStop() {
    upstream.sidecarStopped();
  }

  void handle(SidecarEvent event) {
    long now = queue().nowMicros();
    fleet.observer().sidecarEvent(name(), event, now);
    if (isUp()) {
      core.handle(event, now);
    }
  }

  @Override
  void onMessage(Envelope envelope) {
    handle(new SidecarEvent.PeerMessageReceived(envelope));
  }

  @Override
  void onPeerDown(String peer, boolean wasConnected) {
    handle(wasConnected ? new SidecarEvent.PeerLost(peer) : new SidecarEvent.PeerUnreachable(peer));
  }

  private void carryOut(SidecarCommand command) {
    fleet.observer().sidecarCommand(name(), command, queue().nowMicros());
    if (!isUp()) {
      return;
    }
    if (command instanceof SidecarCommand.SendToPeer send) {
      Envelope envelope =
          new Envelope(name(), incarnation(), send.configurationOffset(), send.message());
      fleet.network().send(this, send.peer(), envelope);
    } else if (command instanceof SidecarCommand.ReadLog read) {
      readLog(read);
    } else if (command instanceof SidecarCommand.AppendLog append) {
      append(append);
    } else if (command instanceof SidecarCommand.ReadInstances read) {
      fleet
          .platform()
          .readInstances(
              this, read.knownVersion(), list -> handle(new SidecarEvent.InstancesRead(list)));
    } else if (command instanceof SidecarCommand.Drained) {
      isDrained = true;
    } else {
      upstream.carryOut(command);
    }
  }

  private void readLog(SidecarCommand.ReadLog read) {
    fleet
        .platform()
        .readLog(
            this,
            read.stream(),
            read.fromOffset(),
            page ->
                handle(
                    page.<SidecarEvent>map(SidecarEvent.LogRead::new)
                        .orElseGet(() -> new SidecarEvent.LogReadFailed(read.stream()))));
  }

  private void append(SidecarCommand.AppendLog append) {
    fleet
        .platform()
        .append(
            this,
            append.stream(),
            append.payload(),
            offset -> handle(new SidecarEvent.LogAppended(append.token(), offset)),
            mayHave -> handle(new SidecarEvent.LogAppendFailed(append.token(), mayHave)));
  }
}
