package org.shallothook.sidecar;

import io.vavr.control.Try;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.shallothook.coordination.booking.ClaimOptions;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.coordination.sidecar.LogCoordinationOptions;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarCore;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarOptions;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.TurnMeter;
import org.shallothook.transport.admin.AdminServer;
import org.shallothook.transport.decision.DecisionSettings;
import org.shallothook.transport.decision.DecisionThread;
import org.shallothook.transport.metrics.TransportMetrics;
import org.shallothook.transport.peer.PeerIdentity;
import org.shallothook.transport.peer.PeerNetwork;
import org.shallothook.transport.peer.PeerSettings;
import org.shallothook.transport.platform.HttpClient;
import org.shallothook.transport.platform.HttpSettings;
import org.shallothook.transport.platform.PlatformClients;
import org.shallothook.transport.process.Clock;
import org.shallothook.transport.process.GracefulStop;
import org.shallothook.transport.process.Listening;
import org.shallothook.transport.settings.CommonKeys;
import org.shallothook.transport.settings.Settings;

/**
 * A running sidecar: connects peer, upstream, platform and admin sockets to one {@link
 * SidecarCore}.
 *
 * <p>Invariant: the core is used only on the decision thread. Thread-safe once started.
 */
final class SidecarProcess {

  private final Settings settings;
  private final long incarnation = TimeUnit.MICROSECONDS.toMillis(Clock.nowMicros());
  private final TransportMetrics metrics = new TransportMetrics();
  private final EventLoops loops =
      EventLoops.create(1, new TurnMeter(metrics, DecisionJournal.NONE));
  private final AtomicBoolean isLeaving = new AtomicBoolean();
  private final DecisionThread<SidecarEvent> thread;
  private final PeerNetwork peers;
  private final UpstreamClient upstream;
  private final PlatformClients platform;
  private final SidecarCore core;
  private final AdminServer admin;
  private final GracefulStop stop = new GracefulStop(requestedMicros -> drain(), this::close);

  SidecarProcess(Settings settings) {
    this.settings = settings;
    thread =
        new DecisionThread<>(
            new DecisionSettings(
                "decisions",
                settings.number(CommonKeys.RING_SIZE),
                SidecarCore.TICK_INTERVAL_MICROS),
            SidecarEvent.Tick::new,
            Clock::nowMicros,
            metrics);
    SidecarEvents events = new SidecarEvents(thread);
    peers = new PeerNetwork(identity(), PeerSettings.DEFAULT, loops.internal(), events, metrics);
    HttpClient client = new HttpClient(loops.internal(), HttpSettings.DEFAULT, metrics);
    upstream = new UpstreamClient(settings, role(), client, thread::deliver);
    platform =
        PlatformClients.create(
            settings,
            client,
            events,
            list -> thread.deliver(new SidecarEvent.InstancesRead(list)),
            metrics);
    core = new SidecarCore(options(), logCoordinationOptions(), this::carryOut, metrics);
    admin = new AdminServer(loops.internal(), metrics.registry(), isLeaving::get);
    new SidecarAdmin(core, thread).addTo(admin);
  }

  /** Starts to serve; returns a failure if an address cannot be bound. */
  Try<Void> start() {
    return stop.start(
        List.of(
            () -> Try.run(() -> thread.start(core::handle)),
            () ->
                Listening.start("peers", peers::listen, settings.address(CommonKeys.LISTEN_PEERS)),
            () ->
                Listening.start(
                    "admin", admin::listen, settings.address(CommonKeys.LISTEN_ADMIN))));
  }

  private InstanceRole role() {
    String name = settings.text(SidecarSettings.ROLE).toUpperCase(Locale.ROOT).replace('-', '_');
    return InstanceRole.valueOf(name);
  }

  private PeerIdentity identity() {
    return new PeerIdentity(
        settings.text(CommonKeys.NAME),
        incarnation,
        role(),
        settings.text(CommonKeys.FAILURE_DOMAIN));
  }

  private SidecarOptions options() {
    boolean isService = role() == InstanceRole.SERVICE;
    return SidecarOptions.builder(settings.text(CommonKeys.NAME), incarnation)
        .role(role())
        .service(isService ? settings.text(SidecarSettings.SERVICE) : "")
        .failureDomain(settings.text(CommonKeys.FAILURE_DOMAIN))
        .region(settings.text(CommonKeys.REGION))
        .blockBytes(settings.number(CommonKeys.BLOCK_BYTES))
        .maximumQueueLength(settings.number(SidecarSettings.MAXIMUM_QUEUE))
        .build();
  }

  private LogCoordinationOptions logCoordinationOptions() {
    ClaimOptions defaults = ClaimOptions.DEFAULT;
    ClaimOptions claims =
        new ClaimOptions(
            settings.number(SidecarSettings.BOOKING_PARTITIONS),
            TimeUnit.SECONDS.toMicros(settings.number(SidecarSettings.BOOKING_WINDOW_SECONDS)),
            defaults.clockSkewMicros(),
            TimeUnit.SECONDS.toMicros(settings.number(CommonKeys.LOG_RETENTION_SECONDS)),
            defaults.appendIntervalMicros());
    return new LogCoordinationOptions(claims, settings.number(SidecarSettings.VERSIONS_PER_ENGINE));
  }

  private void carryOut(SidecarCommand command) {
    if (command instanceof SidecarCommand.SendToPeer send) {
      peers.send(send.peer(), send.message(), send.configurationOffset());
    } else if (command instanceof SidecarCommand.PeersChanged changed) {
      peers.peersChanged(changed.peers());
    } else if (command instanceof SidecarCommand.ReadLog read) {
      platform.log().read(read.stream(), read.fromOffset());
    } else if (command instanceof SidecarCommand.AppendLog append) {
      platform.log().append(append.token(), append.stream(), append.payload());
    } else if (command instanceof SidecarCommand.ReadInstances read) {
      platform.instances().read(read.knownVersion());
    } else if (command instanceof SidecarCommand.Drained) {
      stop.onDrained();
    } else {
      upstream.carryOut(command);
    }
  }

  private void drain() {
    isLeaving.set(true);
    thread.deliver(new SidecarEvent.DrainRequested());
  }

  private void close() {
    admin.close();
    peers.close();
    thread.close();
    loops.close();
  }
}
