package org.shallothook.router;

import io.vavr.control.Try;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.shallothook.coordination.forward.Decision;
import org.shallothook.coordination.forward.ForwardCommand;
import org.shallothook.coordination.forward.ForwardCore;
import org.shallothook.coordination.forward.ForwardEvent;
import org.shallothook.coordination.forward.ForwardOptions;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.coordination.registry.FollowPolicy;
import org.shallothook.coordination.registry.RegistryCore;
import org.shallothook.coordination.registry.RegistryEvent;
import org.shallothook.coordination.registry.RegistryListener;
import org.shallothook.coordination.registry.RegistryOptions;
import org.shallothook.coordination.registry.RegistryStream;
import org.shallothook.platform.HostedNode;
import org.shallothook.platform.HostedRequestForm;
import org.shallothook.platform.StoreClient;
import org.shallothook.state.log.KeyedRecord;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.transport.Addresses;
import org.shallothook.transport.Channels;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.admin.AdminServer;
import org.shallothook.transport.decision.DecisionSettings;
import org.shallothook.transport.decision.DecisionThread;
import org.shallothook.transport.forward.ForwardGate;
import org.shallothook.transport.forward.ForwardSettings;
import org.shallothook.transport.logging.DecisionLog;
import org.shallothook.transport.metrics.TransportMetrics;
import org.shallothook.transport.peer.PeerIdentity;
import org.shallothook.transport.peer.PeerNetwork;
import org.shallothook.transport.peer.PeerSettings;
import org.shallothook.transport.platform.HttpClient;
import org.shallothook.transport.platform.HttpSettings;
import org.shallothook.transport.process.Clock;
import org.shallothook.transport.process.GracefulStop;
import org.shallothook.transport.process.HangupSignal;
import org.shallothook.transport.process.Listening;
import org.shallothook.transport.settings.CommonKeys;
import org.shallothook.transport.settings.HostedKeys;
import org.shallothook.transport.settings.Settings;

/**
 * A running router on a hosting platform: sockets around one {@link ForwardCore} and one {@link
 * RegistryCore}.
 *
 * <p>Invariant: the cores are used on the decision thread alone. Thread-safe once started.
 */
final class HostedRouter implements RegistryListener {
  /** Longest time that the store may hold a read of the operator's stream. */
  private static final long OPERATOR_WAIT_MICROS = 1_500_000;

  /** Part of the bound for leaving servers after which the registry is read again. */
  private static final int LEAVE_READS = 4;

  /** Time between two reads of where other processes listen. */
  private static final long MEMBERS_INTERVAL_MICROS = 20_000_000;

  /** Part of the bound of new weights that is left for requests on their way. */
  private static final double VERSION_PART = 0.8;

  /** How long a request that crashes servers is refused, in microseconds. */
  private static final long QUARANTINE_MICROS = 60_000_000;

  /** Time that is left for closing before the process is killed. */
  private static final Duration CLOSE_MARGIN = Duration.ofMillis(700);

  private final Settings settings;
  private final long incarnation = TimeUnit.MICROSECONDS.toMillis(Clock.nowMicros());
  private final TransportMetrics metrics = new TransportMetrics();
  private final EventLoops loops = EventLoops.create(1);
  private final AtomicBoolean isLeaving = new AtomicBoolean();
  private final AtomicBoolean isReady = new AtomicBoolean();
  private final DecisionLog log =
      new DecisionLog(new FileOutputStream(FileDescriptor.out), metrics);
  private final DecisionThread<CoreEvent> thread;
  private final ForwardGate gate;
  private final ForwardCore core;
  private final RegistryCore registry;
  private final HostedNode node;
  private final PeerNetwork peers;
  private final AdminServer admin;
  private final GracefulStop stop = new GracefulStop(this::drain, this::close);
  private long latestMicros;

  HostedRouter(Settings settings) {
    this.settings = settings;
    thread =
        new DecisionThread<>(
            new DecisionSettings(
                "decisions",
                settings.number(CommonKeys.RING_SIZE),
                ForwardCore.TICK_INTERVAL_MICROS),
            ForwardEvent.Tick::new,
            Clock::steadyMicros,
            metrics);
    gate =
        new ForwardGate(
            loops.internal(),
            new HostedRequestForm(),
            ForwardSettings.DEFAULT,
            thread,
            metrics,
            Clock::steadyMicros);
    HttpClient client = new HttpClient(loops.internal(), HttpSettings.DEFAULT);
    StoreClient store = new StoreClient(client, settings.address(HostedKeys.STORE), metrics);
    node = new HostedNode(store, thread, log);
    peers = new PeerNetwork(identity(), PeerSettings.DEFAULT, loops.internal(), node, metrics);
    core = new ForwardCore(forwardOptions(), this::carryOut);
    registry =
        new RegistryCore(
            new RegistryOptions(self(), policies(), incarnation),
            command -> node.carryOut(command, peers),
            this);
    admin =
        new AdminServer(
            loops.internal(), metrics.registry(), () -> isLeaving.get() || !isReady.get());
    metrics.gauge("requests.open", core::openRequests);
  }

  /** Starts to serve; returns the failure where an address cannot be listened on. */
  Try<Void> start() {
    log.start();
    log.write(Decision.PROCESS, settings.text(CommonKeys.NAME), "outcome", "started");
    thread.start(this::handle);
    return Listening.start("callers", gate::listen, settings.address(RouterSettings.LISTEN_CALLERS))
        .flatMap(
            done ->
                Listening.start("admin", admin::listen, settings.address(CommonKeys.LISTEN_ADMIN)))
        .flatMap(
            done ->
                Listening.start("peers", peers::listen, settings.address(CommonKeys.LISTEN_PEERS)))
        .onSuccess(done -> stop.arm())
        .onSuccess(done -> HangupSignal.handle(this::reload));
  }

  @Override
  public void changed(
      RegistryStream stream, List<KeyedRecord> changes, boolean isFirstWhole, long nowMicros) {
    switch (stream) {
      case OPERATOR -> changes.forEach(record -> readOperator(record, nowMicros));
      case SERVERS -> readServers(changes, isFirstWhole, nowMicros);
      case MEMBERS -> readMembers(changes, nowMicros);
      case FENCES -> throw new IllegalArgumentException("Routers do not follow " + stream);
    }
    isReady.set(core.isReady());
  }

  @Override
  public void reachable(boolean isReachable, long nowMicros) {
    log.write(Decision.DEPENDENCY, "store", "outcome", isReachable ? "regained" : "lost");
    core.handle(new ForwardEvent.RegistryReachable(isReachable), nowMicros);
  }

  @Override
  public void received(Envelope envelope, long nowMicros) {
    if (envelope.message() instanceof PeerMessage.SidecarStatus status) {
      core.handle(new ForwardEvent.StatusHeard(status), nowMicros);
    } else if (envelope.message() instanceof PeerMessage.OpeningsHeld held) {
      core.handle(new ForwardEvent.OpeningsHeard(held.upstream(), held.openings()), nowMicros);
    } else if (envelope.message() instanceof PeerMessage.CrashSeen seen) {
      core.handle(new ForwardEvent.CrashHeard(seen.content(), seen.crash()), nowMicros);
    } else {
      metrics.increment("peers.unexpected-message");
    }
  }

  private void handle(CoreEvent event, long nowMicros) {
    latestMicros = nowMicros;
    if (event instanceof ForwardEvent forward) {
      core.handle(forward, nowMicros);
      if (event instanceof ForwardEvent.Tick) {
        registry.onTick(nowMicros);
      }
    } else if (event instanceof RegistryEvent read) {
      registry.handle(read, nowMicros);
    }
  }

  private void readOperator(KeyedRecord record, long nowMicros) {
    node.readOperator(
        record,
        table -> core.handle(new ForwardEvent.RoutesRead(table), nowMicros),
        version -> core.handle(new ForwardEvent.VersionNamed(version), nowMicros));
  }

  private void readServers(List<KeyedRecord> changes, boolean isFirstWhole, long nowMicros) {
    List<ServerEntry> entries = new ArrayList<>();
    for (KeyedRecord record : changes) {
      Optional<ServerEntry> entry = node.readServer(record);
      entry.ifPresent(entries::add);
      if (entry.isEmpty()) {
        core.handle(new ForwardEvent.ServerRemoved(record.key()), nowMicros);
      }
    }
    core.handle(new ForwardEvent.ServersRead(entries, isFirstWhole), nowMicros);
  }

  private void readMembers(List<KeyedRecord> changes, long nowMicros) {
    for (KeyedRecord record : changes) {
      node.readMember(record).ifPresent(member -> registry.onMember(member, nowMicros));
    }
    core.handle(new ForwardEvent.RoutersCounted(registry.routers()), nowMicros);
  }

  private void carryOut(ForwardCommand command) {
    if (command instanceof ForwardCommand.TellOpenings openings) {
      registry.sendToRouters(
          new PeerMessage.OpeningsHeld(openings.server(), openings.openings()), latestMicros);
    } else if (command instanceof ForwardCommand.TellCrash crash) {
      registry.sendToRouters(
          new PeerMessage.CrashSeen(crash.contentHash(), crash.crash()), latestMicros);
    } else {
      gate.carryOut(command);
    }
  }

  private Map<RegistryStream, FollowPolicy> policies() {
    long leaveMicros = TimeUnit.MILLISECONDS.toMicros(settings.number(HostedKeys.LEAVE_MILLIS));
    return Map.of(
        RegistryStream.OPERATOR, new FollowPolicy(OPERATOR_WAIT_MICROS, 0),
        RegistryStream.SERVERS, new FollowPolicy(0, leaveMicros / LEAVE_READS),
        RegistryStream.MEMBERS, new FollowPolicy(0, MEMBERS_INTERVAL_MICROS));
  }

  private ForwardOptions forwardOptions() {
    long versionMicros = TimeUnit.MILLISECONDS.toMicros(settings.number(HostedKeys.VERSION_MILLIS));
    return new ForwardOptions(
        settings.text(CommonKeys.FAILURE_DOMAIN),
        settings.share(HostedKeys.RETRY_SHARE),
        settings.number(HostedKeys.RETRY_SLACK),
        TimeUnit.SECONDS.toMicros(settings.number(HostedKeys.RETRY_WINDOW_SECONDS)),
        (long) (VERSION_PART * versionMicros),
        QUARANTINE_MICROS,
        incarnation,
        metrics,
        log);
  }

  private Instance self() {
    return new Instance(
        settings.text(CommonKeys.NAME),
        InstanceRole.ROUTER,
        Addresses.text(settings.address(CommonKeys.LISTEN_PEERS)),
        settings.text(CommonKeys.FAILURE_DOMAIN),
        settings.text(CommonKeys.REGION),
        "",
        false);
  }

  private PeerIdentity identity() {
    return new PeerIdentity(
        settings.text(CommonKeys.NAME),
        incarnation,
        InstanceRole.ROUTER,
        settings.text(CommonKeys.FAILURE_DOMAIN));
  }

  /** Settings are read when a process starts; none of them can change what is decided later. */
  private void reload() {
    log.write(Decision.PROCESS, settings.text(CommonKeys.NAME), "outcome", "reload ignored");
  }

  private void drain() {
    isLeaving.set(true);
    log.write(Decision.PROCESS, settings.text(CommonKeys.NAME), "outcome", "draining");
    Duration longest =
        Duration.ofSeconds(settings.number(HostedKeys.STOP_SECONDS)).minus(CLOSE_MARGIN);
    long endsAtMicros = Clock.steadyMicros() + TimeUnit.NANOSECONDS.toMicros(longest.toNanos());
    gate.drain(() -> thread.deliver(new ForwardEvent.Leaving(endsAtMicros)), stop::drained);
    Channels.after(loops.internal(), longest, stop::drained);
  }

  private void close() {
    log.write(Decision.PROCESS, settings.text(CommonKeys.NAME), "outcome", "stopped");
    try {
      log.close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
