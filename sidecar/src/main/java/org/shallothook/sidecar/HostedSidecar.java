package org.shallothook.sidecar;

import io.vavr.control.Try;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.coordination.registry.PollingPolicy;
import org.shallothook.coordination.registry.RegistryChanges;
import org.shallothook.coordination.registry.RegistryCore;
import org.shallothook.coordination.registry.RegistryEvent;
import org.shallothook.coordination.registry.RegistryListener;
import org.shallothook.coordination.registry.RegistryOptions;
import org.shallothook.coordination.registry.RegistryStream;
import org.shallothook.coordination.weights.WeightCommand;
import org.shallothook.coordination.weights.WeightEvent;
import org.shallothook.coordination.weights.WeightUpdater;
import org.shallothook.platform.HostedNode;
import org.shallothook.platform.ModelServerClient;
import org.shallothook.platform.StoreRecordVersions;
import org.shallothook.state.log.KeyedRecord;
import org.shallothook.state.log.WrittenTime;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.transport.Addresses;
import org.shallothook.transport.admin.AdminServer;
import org.shallothook.transport.process.GracefulStop;
import org.shallothook.transport.settings.HostedKeys;
import org.shallothook.transport.settings.Settings;

/**
 * A running sidecar on a hosting platform: connects model server, store, peer and admin sockets to
 * one {@link WeightUpdater} and one {@link RegistryCore}.
 *
 * <p>Invariant: the cores are used only on the decision thread. Thread-safe once started.
 */
final class HostedSidecar implements RegistryListener {
  /**
   * Long-poll duration of a read of the operator's stream, as a multiple of the bound on applying a
   * configuration. May exceed 1, since a sidecar reads only desired weight versions, whose bound is
   * several times longer.
   */
  private static final double OPERATOR_LONG_POLL_FACTOR = 1.25;

  /**
   * Time between two periodic reads of the server registry, in microseconds. The updater has it
   * read in between if a rollout waits for servers that may have left.
   */
  private static final long SERVERS_POLL_INTERVAL_MICROS = 30_000_000;

  private final AtomicBoolean isLeaving = new AtomicBoolean();
  private final HostedNode node;
  private final WeightUpdater updater;
  private final RegistryCore registry;
  private final ModelServerClient engine;
  private final AdminServer admin;
  private final GracefulStop stop;
  private long latestMicros;

  HostedSidecar(Settings settings) {
    node =
        new HostedNode(
            settings,
            InstanceRole.MODEL_ENGINE,
            WeightUpdater.TICK_INTERVAL_MICROS,
            WeightEvent.Tick::new);
    engine = new ModelServerClient(node.client(), settings.address(HostedSidecarSettings.UPSTREAM));
    updater =
        new WeightUpdater(
            node.name(),
            Addresses.text(settings.address(HostedSidecarSettings.UPSTREAM)),
            settings.micros(HostedKeys.VERSION_MILLIS, TimeUnit.MILLISECONDS),
            this::carryOut,
            node.decisionLog());
    registry =
        new RegistryCore(
            new RegistryOptions(
                node.self(),
                policies(settings),
                StoreRecordVersions.byStream(),
                node.incarnation()),
            node::carryOut,
            this);
    admin = new AdminServer(node.loop(), node.metrics().registry(), isLeaving::get);
    stop = new GracefulStop(requestedMicros -> drain(), node::close);
  }

  /** Starts to serve; returns a failure if an address cannot be bound. */
  Try<Void> start() {
    return stop.start(node.startSteps(this::handle, admin));
  }

  @Override
  public void onChanges(RegistryChanges changes, long nowMicros) {
    for (KeyedRecord record : changes.records()) {
      switch (changes.stream()) {
        case OPERATOR -> readOperator(record, changes.written(), nowMicros);
        case SERVERS -> readServer(record, nowMicros);
        case MEMBERS ->
            node.readMember(record).ifPresent(member -> registry.onMember(member, nowMicros));
        case QUARANTINES, SOFTWARE, STREAMS, FENCES ->
            throw new IllegalArgumentException("Sidecars do not follow " + changes.stream());
      }
    }
    if (changes.stream() == RegistryStream.SERVERS && changes.completesFirstScan()) {
      updater.handle(new WeightEvent.ServersComplete(), nowMicros);
    }
  }

  @Override
  public void onReachabilityChanged(boolean isReachable, long nowMicros) {
    node.logStoreReachability(isReachable);
  }

  @Override
  public void onStoreRestored(long era, String offsets, long nowMicros) {
    node.logStoreRestored(era, offsets);
  }

  @Override
  public void onInterrupted(long pauseMicros, long nowMicros) {
    node.logInterrupted(pauseMicros);
  }

  @Override
  public void onMessage(Envelope envelope, long nowMicros) {
    if (envelope.message() instanceof PeerMessage.SidecarStatus status) {
      updater.handle(new WeightEvent.StatusReceived(status), nowMicros);
    } else {
      node.metrics().increment("peers.unexpected-message");
    }
  }

  private void handle(CoreEvent event, long nowMicros) {
    latestMicros = nowMicros;
    if (event instanceof WeightEvent weight) {
      updater.handle(weight, nowMicros);
      if (event instanceof WeightEvent.Tick) {
        registry.onTick(nowMicros);
      }
    } else if (event instanceof RegistryEvent read) {
      registry.handle(read, nowMicros);
    }
  }

  private void readOperator(KeyedRecord record, WrittenTime written, long nowMicros) {
    node.readVersion(record)
        .ifPresent(
            version ->
                updater.handle(new WeightEvent.DesiredVersionChanged(version, written), nowMicros));
  }

  private void readServer(KeyedRecord record, long nowMicros) {
    Optional<ServerEntry> entry = node.readServer(record);
    updater.handle(
        entry
            .<WeightEvent>map(WeightEvent.ServerListed::new)
            .orElseGet(() -> new WeightEvent.ServerRemoved(record.key())),
        nowMicros);
  }

  private void carryOut(WeightCommand command) {
    if (command instanceof WeightCommand.ReadServers) {
      registry.readSoon(RegistryStream.SERVERS, latestMicros);
    } else if (command instanceof WeightCommand.Announce announce) {
      announce(announce);
    } else {
      node.carryOut(command, engine, node.events()::deliver);
    }
  }

  private void announce(WeightCommand.Announce announce) {
    if (announce.includesSidecars()) {
      registry.sendToAll(announce.status(), latestMicros);
    } else {
      registry.sendToRouters(announce.status(), latestMicros);
    }
  }

  private static Map<RegistryStream, PollingPolicy> policies(Settings settings) {
    long configurationMicros =
        settings.micros(HostedKeys.CONFIGURATION_MILLIS, TimeUnit.MILLISECONDS);
    return Map.of(
        RegistryStream.OPERATOR,
            new PollingPolicy((long) (OPERATOR_LONG_POLL_FACTOR * configurationMicros), 0),
        RegistryStream.SERVERS, new PollingPolicy(0, SERVERS_POLL_INTERVAL_MICROS),
        RegistryStream.MEMBERS, HostedNode.MEMBERS_POLICY);
  }

  /** Stops without waiting, since no requests pass through this process. */
  private void drain() {
    isLeaving.set(true);
    stop.onDrained();
  }
}
