package org.shallothook.router;

import io.vavr.control.Try;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.coordination.router.RouterCommand;
import org.shallothook.coordination.router.RouterCore;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.coordination.router.RouterOptions;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.request.RequestId;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.TurnMeter;
import org.shallothook.transport.admin.AdminServer;
import org.shallothook.transport.caller.CallerServer;
import org.shallothook.transport.caller.CallerSettings;
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
 * A running router: connects caller, peer, platform and admin sockets to one {@link RouterCore}.
 *
 * <p>Invariant: the core is used only on the decision thread. Thread-safe once started.
 */
final class RouterProcess {
  private static final int CALLER_THREADS = 2;

  private final Settings settings;
  private final long incarnation = TimeUnit.MICROSECONDS.toMillis(Clock.nowMicros());
  private final TransportMetrics metrics = new TransportMetrics();
  private final EventLoops loops =
      EventLoops.create(CALLER_THREADS, new TurnMeter(metrics, DecisionJournal.NONE));
  private final AtomicBoolean isLeaving = new AtomicBoolean();
  private final AtomicLong requestCount = new AtomicLong();
  private final DecisionThread<RouterEvent> thread;
  private final CallerServer callers;
  private final PeerNetwork peers;
  private final PlatformClients platform;
  private final RouterCore core;
  private final AdminServer admin;
  private final GracefulStop stop = new GracefulStop(requestedMicros -> drain(), this::close);

  RouterProcess(Settings settings) {
    this.settings = settings;
    thread =
        new DecisionThread<>(
            new DecisionSettings(
                "decisions",
                settings.number(CommonKeys.RING_SIZE),
                RouterCore.TICK_INTERVAL_MICROS),
            RouterEvent.Tick::new,
            Clock::nowMicros,
            metrics);
    callers =
        new CallerServer(
            callerSettings(),
            loops.callers(),
            this::nextRequestId,
            thread,
            metrics,
            Clock::nowMicros);
    RouterEvents events = new RouterEvents(thread);
    peers = new PeerNetwork(identity(), PeerSettings.DEFAULT, loops.internal(), events, metrics);
    HttpClient client = new HttpClient(loops.internal(), HttpSettings.DEFAULT, metrics);
    platform =
        PlatformClients.create(
            settings,
            client,
            events,
            list -> thread.deliver(new RouterEvent.InstancesRead(list)),
            metrics);
    core = new RouterCore(options(), this::carryOut);
    admin = new AdminServer(loops.internal(), metrics.registry(), isLeaving::get);
    new RouterAdmin(core, thread).addTo(admin);
  }

  /** Starts to serve; returns a failure if an address cannot be bound. */
  Try<Void> start() {
    return stop.start(
        List.of(
            () -> Try.run(() -> thread.start(core::handle)),
            () ->
                Listening.start("peers", peers::listen, settings.address(CommonKeys.LISTEN_PEERS)),
            () ->
                Listening.start("admin", admin::listen, settings.address(CommonKeys.LISTEN_ADMIN)),
            () ->
                Listening.start(
                    "callers", callers::listen, settings.address(RouterSettings.LISTEN_CALLERS))));
  }

  private CallerSettings callerSettings() {
    CallerSettings defaults = CallerSettings.DEFAULT;
    return new CallerSettings(
        settings.number(RouterSettings.BODY_LIMIT_BYTES),
        Math.max(
            defaults.maximumBufferedBodyBytes(), settings.number(RouterSettings.BODY_LIMIT_BYTES)),
        defaults.maximumPendingBytes(),
        defaults.maximumConnections(),
        defaults.requestTimeout(),
        defaults.idleTimeout(),
        defaults.stallTimeout());
  }

  private PeerIdentity identity() {
    return new PeerIdentity(
        settings.text(CommonKeys.NAME),
        incarnation,
        InstanceRole.ROUTER,
        settings.text(CommonKeys.FAILURE_DOMAIN));
  }

  private RouterOptions options() {
    return RouterOptions.builder()
        .name(settings.text(CommonKeys.NAME))
        .incarnation(incarnation)
        .failureDomain(settings.text(CommonKeys.FAILURE_DOMAIN))
        .region(settings.text(CommonKeys.REGION))
        .blockBytes(settings.number(CommonKeys.BLOCK_BYTES))
        .firstTokenWaitMicros(
            TimeUnit.MILLISECONDS.toMicros(settings.number(RouterSettings.FIRST_TOKEN_MILLIS)))
        .logRetentionMicros(
            TimeUnit.SECONDS.toMicros(settings.number(CommonKeys.LOG_RETENTION_SECONDS)))
        .retryShare(settings.amount(RouterSettings.RETRY_SHARE))
        .ejectionShare(settings.amount(RouterSettings.EJECTION_SHARE))
        .seed(incarnation)
        .counters(metrics)
        .build();
  }

  private RequestId nextRequestId() {
    return RequestId.of(
        settings.text(CommonKeys.NAME), incarnation, requestCount.incrementAndGet());
  }

  private void carryOut(RouterCommand command) {
    if (callers.carryOut(command)) {
      return;
    }
    if (command instanceof RouterCommand.SendToPeer send) {
      peers.send(send.peer(), send.message(), send.configurationOffset());
    } else if (command instanceof RouterCommand.PeersChanged changed) {
      peers.peersChanged(changed.peers());
    } else if (command instanceof RouterCommand.ReadLog read) {
      platform.log().read(read.stream(), read.fromOffset());
    } else if (command instanceof RouterCommand.AppendLog append) {
      platform.log().append(append.token(), append.stream(), append.payload());
    } else if (command instanceof RouterCommand.ReadInstances read) {
      platform.instances().read(read.knownVersion());
    } else if (command instanceof RouterCommand.Drained) {
      CompletableFuture<Void> unused = callers.close().thenRun(stop::onDrained);
    }
  }

  private void drain() {
    isLeaving.set(true);
    callers.drain();
    thread.deliver(new RouterEvent.DrainRequested());
  }

  private void close() {
    admin.close();
    peers.close();
    thread.close();
    loops.close();
  }
}
