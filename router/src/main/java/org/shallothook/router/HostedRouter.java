package org.shallothook.router;

import io.vavr.control.Try;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.shallothook.coordination.allowance.AllowanceBound;
import org.shallothook.coordination.forward.ForwardCommand;
import org.shallothook.coordination.forward.ForwardCore;
import org.shallothook.coordination.forward.ForwardEvent;
import org.shallothook.coordination.forward.ForwardOptions;
import org.shallothook.coordination.forward.RouterFleet;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.origin.RecordedStreams;
import org.shallothook.coordination.origin.SoftwareVersion;
import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.coordination.quarantine.RequestSignature;
import org.shallothook.coordination.registry.PollingPolicy;
import org.shallothook.coordination.registry.RegistryChanges;
import org.shallothook.coordination.registry.RegistryCore;
import org.shallothook.coordination.registry.RegistryEvent;
import org.shallothook.coordination.registry.RegistryListener;
import org.shallothook.coordination.registry.RegistryOptions;
import org.shallothook.coordination.registry.RegistryStream;
import org.shallothook.coordination.weights.SidecarlessServers;
import org.shallothook.coordination.weights.WeightCommand;
import org.shallothook.coordination.weights.WeightEvent;
import org.shallothook.coordination.weights.WeightUpdater;
import org.shallothook.platform.HostedNode;
import org.shallothook.platform.HostedRequestFormat;
import org.shallothook.platform.ModelServerClient;
import org.shallothook.platform.StoreRecordVersions;
import org.shallothook.protocol.platform.RecordedStreamsFormat;
import org.shallothook.state.log.KeyedRecord;
import org.shallothook.state.log.RecordVersion;
import org.shallothook.state.log.RecordVersions;
import org.shallothook.state.log.WrittenTime;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.transport.Addresses;
import org.shallothook.transport.Channels;
import org.shallothook.transport.admin.AdminServer;
import org.shallothook.transport.forward.ForwardSettings;
import org.shallothook.transport.forward.ForwardTransport;
import org.shallothook.transport.logging.LogComponent;
import org.shallothook.transport.process.Clock;
import org.shallothook.transport.process.GracefulStop;
import org.shallothook.transport.process.Listening;
import org.shallothook.transport.settings.CommonKeys;
import org.shallothook.transport.settings.HostedKeys;
import org.shallothook.transport.settings.Settings;

/**
 * A running router on a hosting platform: connects caller, store, peer and admin sockets to one
 * {@link ForwardCore} and one {@link RegistryCore}.
 *
 * <p>Invariant: the cores are used only on the decision thread. Thread-safe once started.
 */
final class HostedRouter implements RegistryListener {
  /**
   * Long-poll duration of a read of the operator's stream, as a fraction of the bound on applying a
   * configuration. Below 1, so that a dead connection is given up within the bound.
   */
  private static final double OPERATOR_LONG_POLL_FRACTION = 0.75;

  /**
   * Long-poll duration of a read of the server registry, as a fraction of the bound on detecting a
   * leaving server. Most reads return no new entry.
   */
  private static final double SERVERS_LONG_POLL_FRACTION = 0.4;

  /**
   * Time between two reads of the server registry, as a fraction of the same bound. Reads are
   * spaced because each new weight version rewrites every entry.
   */
  private static final double SERVERS_INTERVAL_FRACTION = 0.25;

  /**
   * Fraction of the bound on installing new weights, or of the time that a started process has to
   * keep it, after which no request may start on older weights; the rest is left for requests
   * already on their way to a server.
   */
  private static final double VERSION_FRACTION = 0.8;

  /** Time for which requests that crash servers are refused, in microseconds. */
  private static final long QUARANTINE_MICROS = 600_000_000;

  /** Time reserved for closing sockets before the process is killed, in microseconds. */
  private static final long CLOSE_MARGIN_MICROS = 700_000;

  /** Time allowed for reporting connections that are still open at the end, in milliseconds. */
  private static final long FINAL_REPORT_MILLIS = 200;

  private final Settings settings;
  private final AtomicBoolean isLeaving = new AtomicBoolean();
  private final AtomicBoolean isReady = new AtomicBoolean();
  private final AtomicBoolean isListening = new AtomicBoolean();
  private final ForwardSettings forwardSettings;
  private final HostedNode node;
  private final ForwardTransport transport;
  private final ForwardCore core;
  private final RegistryCore registry;
  private final SidecarlessServers sidecarless;
  private final AdminServer admin;
  private final GracefulStop stop;
  private long latestMicros;
  private long nextSidecarlessTickMicros;
  private Optional<List<String>> routers = Optional.empty();
  private List<Optional<Long>> originsComplete = List.of();

  /** A weight event of a server that has no sidecar and whose weights this router updates. */
  private record SidecarlessServerEvent(String address, WeightEvent event) implements CoreEvent {}

  HostedRouter(Settings settings) {
    this.settings = settings;
    forwardSettings = forwardSettings();
    node =
        new HostedNode(
            settings,
            InstanceRole.ROUTER,
            ForwardCore.TICK_INTERVAL_MICROS,
            ForwardEvent.Tick::new);
    transport =
        new ForwardTransport(
            node.loop(),
            new HostedRequestFormat(),
            forwardSettings,
            node.events(),
            node.metrics(),
            node.decisionLog(),
            Clock::steadyMicros);
    core = new ForwardCore(forwardOptions(), this::carryOut);
    registry =
        new RegistryCore(
            new RegistryOptions(node.self(), policies(), versions(), node.incarnation()),
            node::carryOut,
            this);
    sidecarless =
        new SidecarlessServers(
            node.name(),
            settings.micros(HostedKeys.VERSION_MILLIS, TimeUnit.MILLISECONDS),
            settings.micros(HostedKeys.ORDER_TURN_MILLIS, TimeUnit.MILLISECONDS),
            this::carryOut,
            node.decisionLog());
    admin =
        new AdminServer(
            node.loop(),
            node.metrics().registry(),
            () -> isLeaving.get() || !isReady.get() || !isListening.get());
    node.metrics().gauge("requests.open", core::openRequests);
    node.metrics().gauge("quarantine.active", core::quarantines);
    stop = new GracefulStop(this::drain, this::close);
  }

  /** Starts to serve; returns a failure if an address cannot be bound. */
  Try<Void> start() {
    List<Supplier<Try<Void>>> steps = new ArrayList<>(node.startSteps(this::handle, admin));
    steps.add(
        () ->
            Listening.start(
                    "callers", transport::listen, settings.address(RouterSettings.LISTEN_CALLERS))
                .onSuccess(done -> isListening.set(true)));
    return stop.start(steps);
  }

  @Override
  public void onChanges(RegistryChanges changes, long nowMicros) {
    List<KeyedRecord> records = changes.records();
    switch (changes.stream()) {
      case OPERATOR ->
          records.forEach(record -> readOperator(record, changes.written(), nowMicros));
      case SERVERS -> readServers(records, changes.completesFirstScan(), nowMicros);
      case MEMBERS -> readMembers(records, nowMicros);
      case QUARANTINES -> records.forEach(record -> readQuarantine(record, nowMicros));
      case SOFTWARE -> readSoftware(records, nowMicros);
      case STREAMS -> readStreams(records, nowMicros);
      case FENCES ->
          throw new IllegalArgumentException("Routers do not follow " + changes.stream());
    }
    isReady.set(core.isReady());
  }

  @Override
  public void onReachabilityChanged(boolean isReachable, long nowMicros) {
    node.logStoreReachability(isReachable);
    core.handle(new ForwardEvent.RegistryReachable(isReachable), nowMicros);
  }

  @Override
  public void onStoreRestored(long era, String offsets, long nowMicros) {
    node.logStoreRestored(era, offsets);
    core.handle(new ForwardEvent.RegistryRestored(), nowMicros);
  }

  @Override
  public void onAppended(RegistryStream stream, boolean isDone, long nowMicros) {
    if (stream == RegistryStream.STREAMS) {
      core.handle(new ForwardEvent.RecordingEnded(isDone), nowMicros);
    }
  }

  @Override
  public void onInterrupted(long pauseMicros, long nowMicros) {
    node.logInterrupted(pauseMicros);
  }

  @Override
  public void onMessage(Envelope envelope, long nowMicros) {
    if (envelope.message() instanceof PeerMessage.SidecarStatus status) {
      core.handle(new ForwardEvent.StatusReceived(status), nowMicros);
      sidecarless.onStatus(status, !registry.isRouter(envelope.sender()), nowMicros);
    } else if (envelope.message() instanceof PeerMessage.OpeningsHeld held) {
      core.handle(new ForwardEvent.PrefixesAnnounced(held.upstream(), held.openings()), nowMicros);
    } else if (envelope.message() instanceof PeerMessage.CrashSeen seen) {
      RequestSignature signature = new RequestSignature(seen.content(), seen.parts());
      core.handle(new ForwardEvent.CrashAnnounced(signature, seen.crash()), nowMicros);
    } else if (envelope.message() instanceof PeerMessage.CrashCleared cleared) {
      core.handle(new ForwardEvent.ClearedAnnounced(cleared.keys()), nowMicros);
    } else if (envelope.message() instanceof PeerMessage.UpstreamLimit limit) {
      core.handle(
          new ForwardEvent.LimitAnnounced(
              limit.upstream(), limit.incarnation(), limit.requestsPerSecond(), envelope.sender()),
          nowMicros);
    } else if (envelope.message() instanceof PeerMessage.UpstreamPace pace) {
      core.handle(new ForwardEvent.PacesAnnounced(pace.paces(), envelope.sender()), nowMicros);
    } else if (envelope.message() instanceof PeerMessage.UpstreamSpeeds speeds) {
      core.handle(new ForwardEvent.SpeedsAnnounced(speeds.speeds()), nowMicros);
    } else if (envelope.message() instanceof PeerMessage.TeamUse use) {
      core.handle(
          new ForwardEvent.TeamUseAnnounced(
              envelope.sender(), envelope.senderIncarnation(), use.teams()),
          nowMicros);
    } else if (envelope.message() instanceof PeerMessage.Quarantines quarantines) {
      for (PeerMessage.QuarantinedKey one : quarantines.quarantined()) {
        long untilMicros = nowMicros + one.remainingMicros();
        core.handle(
            new ForwardEvent.QuarantineLearned(one.key(), untilMicros, envelope.sender()),
            nowMicros);
      }
    } else {
      node.metrics().increment("peers.unexpected-message");
    }
  }

  private ForwardSettings forwardSettings() {
    ForwardSettings derived =
        ForwardSettings.DEFAULT.withinGracePeriod(durationOf(longestStopMicros()));
    long heldBytes = (long) (settings.amount(HostedRouterSettings.HELD_KIBIBYTES) * (1 << 10));
    return heldBytes == 0 ? derived : derived.withMaximumHeldBytes(heldBytes);
  }

  private void handle(CoreEvent event, long nowMicros) {
    latestMicros = nowMicros;
    if (event instanceof ForwardEvent forward) {
      core.handle(forward, nowMicros);
      if (event instanceof ForwardEvent.Tick) {
        registry.onTick(nowMicros);
        updateRouters(nowMicros);
        tickSidecarlessServers(nowMicros);
      }
    } else if (event instanceof SidecarlessServerEvent sidecarlessEvent) {
      sidecarless.handle(sidecarlessEvent.address(), sidecarlessEvent.event(), nowMicros);
    } else if (event instanceof RegistryEvent read) {
      registry.handle(read, nowMicros);
      updateOrigins(nowMicros);
    }
  }

  private void tickSidecarlessServers(long nowMicros) {
    if (nowMicros >= nextSidecarlessTickMicros) {
      nextSidecarlessTickMicros = nowMicros + WeightUpdater.TICK_INTERVAL_MICROS;
      registry
          .completeUntilMicros(RegistryStream.MEMBERS)
          .ifPresent(sidecarless::onMembersComplete);
      sidecarless.onTick(registry.reachableRouters(nowMicros), nowMicros);
    }
  }

  private void carryOut(String address, WeightCommand command) {
    if (command instanceof WeightCommand.Announce announce) {
      core.handle(new ForwardEvent.StatusReceived(announce.status()), latestMicros);
      registry.sendToRouters(announce.status(), latestMicros);
    } else if (command instanceof WeightCommand.ReadServers) {
      registry.readSoon(RegistryStream.SERVERS, latestMicros);
    } else if (command instanceof WeightCommand.ReadMembers) {
      registry.readSoon(RegistryStream.MEMBERS, latestMicros);
    } else {
      ModelServerClient engine = new ModelServerClient(node.client(), Addresses.parse(address));
      node.carryOut(
          command,
          engine,
          event -> node.events().deliver(new SidecarlessServerEvent(address, event)));
    }
  }

  private void readOperator(KeyedRecord record, WrittenTime written, long nowMicros) {
    node.readRoutes(record)
        .ifPresent(table -> core.handle(new ForwardEvent.RoutesRead(table), nowMicros));
    node.readVersion(record)
        .ifPresent(
            version -> {
              core.handle(new ForwardEvent.DesiredVersionChanged(version, written), nowMicros);
              sidecarless.onDesiredVersion(version, written, nowMicros);
            });
  }

  private void readServers(List<KeyedRecord> changes, boolean completesList, long nowMicros) {
    for (ForwardEvent event : ServerRecords.events(changes, node::readServer, completesList)) {
      if (event instanceof ForwardEvent.ServersRead listed) {
        listed.entries().forEach(entry -> sidecarless.onListed(entry, nowMicros));
      } else if (event instanceof ForwardEvent.ServerRemoved removed) {
        sidecarless.onRemoved(removed.id(), nowMicros);
      }
      core.handle(event, nowMicros);
    }
    if (completesList) {
      sidecarless.onAllListed(nowMicros);
    }
  }

  private void readMembers(List<KeyedRecord> changes, long nowMicros) {
    for (KeyedRecord record : changes) {
      node.readMember(record).ifPresent(member -> onMember(member, nowMicros));
    }
    updateRouters(nowMicros);
  }

  /** Tells the core when other routers have become known, from the store or by their messages. */
  private void updateRouters(long nowMicros) {
    Optional<List<String>> names = registry.routers();
    if (names.isPresent() && !names.equals(routers)) {
      routers = names;
      RouterFleet fleet = new RouterFleet(node.name(), names.get());
      core.handle(new ForwardEvent.RoutersKnown(fleet), nowMicros);
    }
  }

  private void onMember(Instance member, long nowMicros) {
    registry.onMember(member, nowMicros);
    if (member.role() == InstanceRole.MODEL_ENGINE) {
      sidecarless.onSidecar(member.address());
    }
  }

  private void carryOut(ForwardCommand command) {
    if (command instanceof ForwardCommand.AnnouncePrefixes prefixes) {
      registry.sendToRouters(
          new PeerMessage.OpeningsHeld(prefixes.server(), prefixes.prefixHashes()), latestMicros);
    } else if (command instanceof ForwardCommand.AnnounceLeaving leaving) {
      registry.sendToRouters(
          new PeerMessage.SidecarStatus(
              leaving.server(), leaving.incarnation(), List.of(), true, 0),
          latestMicros);
    } else if (command instanceof ForwardCommand.AnnounceLimit limit) {
      registry.sendToRouters(
          new PeerMessage.UpstreamLimit(
              limit.server(), limit.incarnation(), limit.requestsPerSecond()),
          latestMicros);
    } else if (command instanceof ForwardCommand.AnnouncePaces announced) {
      registry.sendToRouters(new PeerMessage.UpstreamPace(announced.paces()), latestMicros);
    } else if (command instanceof ForwardCommand.AnnounceSpeeds speeds) {
      registry.sendToRouters(new PeerMessage.UpstreamSpeeds(speeds.speeds()), latestMicros);
    } else if (command instanceof ForwardCommand.AnnounceTeamUse use) {
      registry.sendToRouters(new PeerMessage.TeamUse(use.teams()), latestMicros);
    } else if (command instanceof ForwardCommand.AnnounceCrash crash) {
      registry.sendToRouters(
          new PeerMessage.CrashSeen(
              crash.signature().content(), crash.signature().parts(), crash.crash()),
          latestMicros);
    } else if (command instanceof ForwardCommand.AnnounceCleared cleared) {
      registry.sendToRouters(new PeerMessage.CrashCleared(cleared.keys()), latestMicros);
    } else if (command instanceof ForwardCommand.AnnounceQuarantines quarantines) {
      registry.sendToRouters(messageOf(quarantines), latestMicros);
    } else if (command instanceof ForwardCommand.StoreQuarantine store) {
      registry.put(
          RegistryStream.QUARANTINES,
          RequestSignature.textOf(store.key()),
          store.untilMicros().map(this::quarantineRecord),
          latestMicros);
    } else if (command instanceof ForwardCommand.ReadOrigins) {
      registry.readSoon(RegistryStream.SOFTWARE, latestMicros);
      registry.readSoon(RegistryStream.STREAMS, latestMicros);
    } else if (command instanceof ForwardCommand.DeclareSoftware declare) {
      Map<String, Optional<String>> records = new HashMap<>();
      declare
          .positions()
          .forEach(
              (version, position) -> records.put(version.key(), position.map(String::valueOf)));
      registry.appendIfAllKnown(RegistryStream.SOFTWARE, records);
    } else if (command instanceof ForwardCommand.RecordStreams record) {
      Map<String, Optional<String>> records = new HashMap<>();
      record
          .keys()
          .forEach((key, streams) -> records.put(key, streams.map(RecordedStreamsFormat::write)));
      registry.append(RegistryStream.STREAMS, records);
    } else {
      transport.carryOut(command);
    }
  }

  private PeerMessage messageOf(ForwardCommand.AnnounceQuarantines announced) {
    return new PeerMessage.Quarantines(
        announced.untilMicros().entrySet().stream()
            .map(one -> new PeerMessage.QuarantinedKey(one.getKey(), one.getValue() - latestMicros))
            .toList());
  }

  /** Returns a record with the end of a quarantine by the time of day, as other processes need. */
  private String quarantineRecord(long untilMicros) {
    long atMicros = Clock.nowMicros() + untilMicros - latestMicros;
    return Long.toString(TimeUnit.MICROSECONDS.toMillis(atMicros));
  }

  private void readQuarantine(KeyedRecord record, long nowMicros) {
    if (record.value().isEmpty()) {
      return;
    }
    try {
      long key = HexFormat.fromHexDigitsToLong(record.key());
      long untilMillis = Long.parseLong(record.value().get());
      long remainingMicros = TimeUnit.MILLISECONDS.toMicros(untilMillis) - Clock.nowMicros();
      core.handle(
          new ForwardEvent.QuarantineLearned(key, nowMicros + remainingMicros, "store"), nowMicros);
    } catch (IllegalArgumentException e) {
      node.logSkipped(record, String.valueOf(e.getMessage()));
    }
  }

  private void readSoftware(List<KeyedRecord> records, long nowMicros) {
    Map<SoftwareVersion, Optional<Long>> positions = new HashMap<>();
    for (KeyedRecord record : records) {
      Optional<Long> position = record.value().flatMap(text -> positionOf(record, text));
      SoftwareVersion.ofKey(record.key())
          .ifPresentOrElse(
              version -> positions.put(version, position),
              () -> node.logSkipped(record, "the key names no version"));
    }
    core.handle(new ForwardEvent.SoftwareDeclared(positions), nowMicros);
  }

  private Optional<Long> positionOf(KeyedRecord record, String text) {
    try {
      return Optional.of(Long.parseLong(text));
    } catch (NumberFormatException e) {
      node.logSkipped(record, String.valueOf(e.getMessage()));
      return Optional.empty();
    }
  }

  private void readStreams(List<KeyedRecord> records, long nowMicros) {
    Map<String, Optional<RecordedStreams>> keys = new HashMap<>();
    records.forEach(record -> keys.put(record.key(), node.readStreams(record)));
    core.handle(new ForwardEvent.StreamsRecorded(keys), nowMicros);
  }

  /** Tells the core up to when it knows declarations and records of streams. */
  private void updateOrigins(long nowMicros) {
    List<Optional<Long>> complete =
        List.of(
            registry.completeUntilMicros(RegistryStream.SOFTWARE),
            registry.completeUntilMicros(RegistryStream.STREAMS));
    if (!complete.equals(originsComplete) && complete.stream().allMatch(Optional::isPresent)) {
      long allBeforeMicros =
          complete.stream().flatMap(Optional::stream).min(Long::compare).orElseThrow();
      core.handle(new ForwardEvent.OriginsRead(allBeforeMicros), nowMicros);
    }
    originsComplete = complete;
  }

  private static Map<RegistryStream, RecordVersions> versions() {
    Map<RegistryStream, RecordVersions> versions = new EnumMap<>(StoreRecordVersions.byStream());
    versions.put(RegistryStream.QUARANTINES, (key, value) -> quarantineVersion(value));
    return versions;
  }

  /** Returns the version of a quarantine's record: a later one of the same key ends later. */
  private static Optional<RecordVersion> quarantineVersion(String value) {
    return Try.of(() -> new RecordVersion(0, Long.parseLong(value))).toJavaOptional();
  }

  private Map<RegistryStream, PollingPolicy> policies() {
    long configurationMicros =
        settings.micros(HostedKeys.CONFIGURATION_MILLIS, TimeUnit.MILLISECONDS);
    long leaveMicros = settings.micros(HostedKeys.LEAVE_MILLIS, TimeUnit.MILLISECONDS);
    return Map.of(
        RegistryStream.OPERATOR,
        new PollingPolicy((long) (OPERATOR_LONG_POLL_FRACTION * configurationMicros), 0),
        RegistryStream.SERVERS,
        new PollingPolicy(
            (long) (SERVERS_LONG_POLL_FRACTION * leaveMicros),
            (long) (SERVERS_INTERVAL_FRACTION * leaveMicros)),
        RegistryStream.MEMBERS,
        HostedNode.MEMBERS_POLICY,
        RegistryStream.QUARANTINES,
        HostedNode.MEMBERS_POLICY,
        RegistryStream.SOFTWARE,
        HostedNode.MEMBERS_POLICY,
        RegistryStream.STREAMS,
        HostedNode.MEMBERS_POLICY);
  }

  private ForwardOptions forwardOptions() {
    long versionMicros = settings.micros(HostedKeys.VERSION_MILLIS, TimeUnit.MILLISECONDS);
    long settlingMicros = settings.micros(HostedKeys.SETTLING_MILLIS, TimeUnit.MILLISECONDS);
    return new ForwardOptions(
        node.name(),
        Clock.nowMicros() - Clock.steadyMicros(),
        settings.text(CommonKeys.FAILURE_DOMAIN),
        settings.amount(HostedKeys.RETRY_SHARE),
        settings.amount(HostedKeys.RETRY_SLACK),
        settings.micros(HostedKeys.RETRY_WINDOW_SECONDS, TimeUnit.SECONDS),
        (long) (VERSION_FRACTION * versionMicros),
        (long) (VERSION_FRACTION * settlingMicros),
        settings.isEnabled(HostedKeys.LEARNED_SPEEDS),
        QUARANTINE_MICROS,
        settings.isEnabled(HostedRouterSettings.PACE),
        new AllowanceBound(
            settings.amount(HostedKeys.ALLOWANCE_WINDOW_SECONDS),
            settings.amount(HostedKeys.ALLOWANCE_OVERSHOOT),
            settings.amount(HostedKeys.ALLOWANCE_SLACK)),
        node.incarnation(),
        node.metrics(),
        node.decisionLog());
  }

  /** Drains; all times count from the signal, also if the process notices it late. */
  private void drain(long requestedMicros) {
    isLeaving.set(true);
    node.logProcess("draining");
    long drainMicros = TimeUnit.NANOSECONDS.toMicros(forwardSettings.drainPeriod().toNanos());
    long refusesFromMicros = requestedMicros + drainMicros;
    long endsAtMicros = requestedMicros + longestStopMicros();
    node.events().deliver(new ForwardEvent.Leaving(refusesFromMicros, endsAtMicros));
    transport.drain(refusesFromMicros, stop::onDrained);
    long remainingMicros = Math.max(0, endsAtMicros - Clock.steadyMicros());
    Channels.after(node.loop(), durationOf(remainingMicros), stop::onDrained);
  }

  private static Duration durationOf(long micros) {
    return Duration.of(micros, ChronoUnit.MICROS);
  }

  private void close() {
    CountDownLatch reported = new CountDownLatch(1);
    transport.reportOpenAtEnd(reported::countDown);
    try {
      if (!reported.await(FINAL_REPORT_MILLIS, TimeUnit.MILLISECONDS)) {
        LogComponent.PROCESS.warn("Open connections could not be reported in time.");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    node.close();
  }

  /**
   * Returns the time from the signal to stop until the process closes its sockets, in microseconds.
   */
  private long longestStopMicros() {
    return settings.micros(HostedKeys.STOP_SECONDS, TimeUnit.SECONDS) - CLOSE_MARGIN_MICROS;
  }
}
