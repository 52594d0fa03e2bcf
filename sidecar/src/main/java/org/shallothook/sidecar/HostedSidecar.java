package org.shallothook.sidecar;

import io.vavr.control.Try;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.shallothook.coordination.forward.Decision;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.coordination.registry.FollowPolicy;
import org.shallothook.coordination.registry.RegistryCore;
import org.shallothook.coordination.registry.RegistryEvent;
import org.shallothook.coordination.registry.RegistryListener;
import org.shallothook.coordination.registry.RegistryOptions;
import org.shallothook.coordination.registry.RegistryStream;
import org.shallothook.coordination.weights.WeightCommand;
import org.shallothook.coordination.weights.WeightEvent;
import org.shallothook.coordination.weights.WeightKeeper;
import org.shallothook.platform.EngineCalls;
import org.shallothook.platform.HostedNode;
import org.shallothook.platform.StoreClient;
import org.shallothook.state.log.KeyedRecord;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.transport.Addresses;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.admin.AdminServer;
import org.shallothook.transport.decision.DecisionSettings;
import org.shallothook.transport.decision.DecisionThread;
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
 * A running sidecar on a hosting platform: sockets around one {@link WeightKeeper} and one {@link
 * RegistryCore}.
 *
 * <p>Invariant: the cores are used on the decision thread alone. Thread-safe once started.
 */
final class HostedSidecar implements RegistryListener {
  /** Longest time that the store may hold a read of the operator's stream. */
  private static final long OPERATOR_WAIT_MICROS = 2_500_000;

  /** Time between two reads of where other processes listen. */
  private static final long MEMBERS_INTERVAL_MICROS = 20_000_000;

  /** Time between two reads of the registry that nothing has asked for. */
  private static final long SERVERS_INTERVAL_MICROS = 30_000_000;

  private final Settings settings;
  private final long incarnation = TimeUnit.MICROSECONDS.toMillis(Clock.nowMicros());
  private final TransportMetrics metrics = new TransportMetrics();
  private final EventLoops loops = EventLoops.create(1);
  private final AtomicBoolean isLeaving = new AtomicBoolean();
  private final DecisionLog log =
      new DecisionLog(new FileOutputStream(FileDescriptor.out), metrics);
  private final DecisionThread<CoreEvent> thread;
  private final WeightKeeper keeper;
  private final RegistryCore registry;
  private final HostedNode node;
  private final StoreClient store;
  private final EngineCalls engine;
  private final PeerNetwork peers;
  private final AdminServer admin;
  private final GracefulStop stop = new GracefulStop(this::drain, this::close);
  private long latestMicros;

  HostedSidecar(Settings settings) {
    this.settings = settings;
    thread =
        new DecisionThread<>(
            new DecisionSettings(
                "decisions",
                settings.number(CommonKeys.RING_SIZE),
                WeightKeeper.TICK_INTERVAL_MICROS),
            WeightEvent.Tick::new,
            Clock::steadyMicros,
            metrics);
    HttpClient client = new HttpClient(loops.internal(), HttpSettings.DEFAULT);
    store = new StoreClient(client, settings.address(HostedKeys.STORE), metrics);
    engine = new EngineCalls(client, settings.address(HostedSidecarSettings.UPSTREAM));
    node = new HostedNode(store, thread, log);
    peers = new PeerNetwork(identity(), PeerSettings.DEFAULT, loops.internal(), node, metrics);
    keeper =
        new WeightKeeper(
            settings.text(CommonKeys.NAME),
            Addresses.text(settings.address(HostedSidecarSettings.UPSTREAM)),
            this::carryOut,
            log);
    registry =
        new RegistryCore(
            new RegistryOptions(self(), policies(), incarnation),
            command -> node.carryOut(command, peers),
            this);
    admin = new AdminServer(loops.internal(), metrics.registry(), isLeaving::get);
  }

  /** Starts to serve; returns the failure where an address cannot be listened on. */
  Try<Void> start() {
    log.start();
    log.write(Decision.PROCESS, settings.text(CommonKeys.NAME), "outcome", "started");
    thread.start(this::handle);
    return Listening.start("admin", admin::listen, settings.address(CommonKeys.LISTEN_ADMIN))
        .flatMap(
            done ->
                Listening.start("peers", peers::listen, settings.address(CommonKeys.LISTEN_PEERS)))
        .onSuccess(done -> stop.arm())
        .onSuccess(done -> HangupSignal.handle(this::reload));
  }

  @Override
  public void changed(
      RegistryStream stream, List<KeyedRecord> changes, boolean isFirstWhole, long nowMicros) {
    for (KeyedRecord record : changes) {
      switch (stream) {
        case OPERATOR -> readOperator(record, nowMicros);
        case SERVERS -> readServer(record, nowMicros);
        case MEMBERS ->
            node.readMember(record).ifPresent(member -> registry.onMember(member, nowMicros));
        case FENCES -> throw new IllegalArgumentException("Sidecars do not follow " + stream);
      }
    }
  }

  @Override
  public void reachable(boolean isReachable, long nowMicros) {
    log.write(Decision.DEPENDENCY, "store", "outcome", isReachable ? "regained" : "lost");
  }

  @Override
  public void received(Envelope envelope, long nowMicros) {
    if (envelope.message() instanceof PeerMessage.SidecarStatus status) {
      keeper.handle(new WeightEvent.StatusHeard(status), nowMicros);
    } else {
      metrics.increment("peers.unexpected-message");
    }
  }

  private void handle(CoreEvent event, long nowMicros) {
    latestMicros = nowMicros;
    if (event instanceof WeightEvent weight) {
      keeper.handle(weight, nowMicros);
      if (event instanceof WeightEvent.Tick) {
        registry.onTick(nowMicros);
      }
    } else if (event instanceof RegistryEvent read) {
      registry.handle(read, nowMicros);
    }
  }

  private void readOperator(KeyedRecord record, long nowMicros) {
    node.readOperator(
        record,
        table -> metrics.increment("configuration.read"),
        version -> keeper.handle(new WeightEvent.Named(version), nowMicros));
  }

  private void readServer(KeyedRecord record, long nowMicros) {
    Optional<ServerEntry> entry = node.readServer(record);
    keeper.handle(
        entry
            .<WeightEvent>map(WeightEvent.ServerListed::new)
            .orElseGet(() -> new WeightEvent.ServerRemoved(record.key())),
        nowMicros);
  }

  private void carryOut(WeightCommand command) {
    if (command instanceof WeightCommand.ReadReport) {
      engine.report(answer -> thread.deliver(new WeightEvent.Reported(answer)));
    } else if (command instanceof WeightCommand.TakeFence) {
      store.takeNumber(
          settings.text(CommonKeys.NAME),
          offset -> thread.deliver(new WeightEvent.FenceTaken(offset.map(number -> number + 1))));
    } else if (command instanceof WeightCommand.Order order) {
      engine.order(
          order.order(), answer -> thread.deliver(new WeightEvent.Ordered(order.order(), answer)));
    } else if (command instanceof WeightCommand.ReadServers) {
      registry.hurry(RegistryStream.SERVERS, latestMicros);
    } else if (command instanceof WeightCommand.Announce announce) {
      announce(announce);
    }
  }

  private void announce(WeightCommand.Announce announce) {
    if (announce.isForSidecars()) {
      registry.sendToAll(announce.status(), latestMicros);
    } else {
      registry.sendToRouters(announce.status(), latestMicros);
    }
  }

  private static Map<RegistryStream, FollowPolicy> policies() {
    return Map.of(
        RegistryStream.OPERATOR, new FollowPolicy(OPERATOR_WAIT_MICROS, 0),
        RegistryStream.SERVERS, new FollowPolicy(0, SERVERS_INTERVAL_MICROS),
        RegistryStream.MEMBERS, new FollowPolicy(0, MEMBERS_INTERVAL_MICROS));
  }

  private Instance self() {
    return new Instance(
        settings.text(CommonKeys.NAME),
        InstanceRole.MODEL_ENGINE,
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
        InstanceRole.MODEL_ENGINE,
        settings.text(CommonKeys.FAILURE_DOMAIN));
  }

  /** Settings are read when a process starts; none of them can change what is decided later. */
  private void reload() {
    log.write(Decision.PROCESS, settings.text(CommonKeys.NAME), "outcome", "reload ignored");
  }

  /** Nothing runs through this process, so it may end at once. */
  private void drain() {
    isLeaving.set(true);
    stop.drained();
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
