package org.shallothook.coordination.router;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.shallothook.coordination.configuration.ChangeRequest;
import org.shallothook.coordination.configuration.ConfigurationOptions;
import org.shallothook.coordination.configuration.ConfigurationReplica;
import org.shallothook.coordination.configuration.PendingPublications;
import org.shallothook.coordination.configuration.PublicationResult;
import org.shallothook.coordination.membership.PriorityEnginesCheck;
import org.shallothook.coordination.membership.UpstreamDirectory;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.quarantine.RequestQuarantine;
import org.shallothook.state.configuration.HistoryEntry;
import org.shallothook.state.configuration.TeamTemplate;
import org.shallothook.state.configuration.TemplateVersion;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.request.RequestId;

/**
 * The decision core of a router: handles events and emits commands.
 *
 * <pre>{@code
 * RouterCore core = new RouterCore(RouterOptions.builder().name("router-1").build(), commands::add);
 * core.handle(new RouterEvent.Tick(), nowMicros);
 * }</pre>
 *
 * <p>Invariant: the same events at the same times produce the same commands. Not thread-safe: all
 * methods, including queries, must be called on one decision thread.
 */
public final class RouterCore {
  /** Maximum time between two ticks, in microseconds. */
  public static final long TICK_INTERVAL_MICROS = 20_000;

  private static final long UNREACHABLE_BACKOFF_MICROS = 1_000_000;
  private static final long CONFIGURATION_RETRY_AFTER_MICROS = 1_000_000;

  private final RouterOptions options;
  private final RouterOutbox outbox;
  private final ConfigurationReplica configuration;
  private final UpstreamDirectory directory;
  private final UpstreamTracker upstreamTracker;
  private final RequestQuarantine poison;
  private final RequestTable table;
  private final RequestScreening screening;
  private final ChatFlow chats;
  private final CallFlow calls;
  private final PendingPublications publications;
  private final RolloutRecorder rollouts;
  private final ParkedRequests parked = new ParkedRequests();
  private boolean isDrained;
  private long latestMicros;

  /**
   * Creates a core without configuration and without peers.
   *
   * @param options settings
   * @param commands receives each command, in order
   */
  public RouterCore(RouterOptions options, Consumer<RouterCommand> commands) {
    this.options = Objects.requireNonNull(options, "options");
    SplittableRandom random = new SplittableRandom(options.seed());
    outbox = new RouterOutbox(commands, options.counters());
    configuration =
        new ConfigurationReplica(
            outbox, ConfigurationOptions.ofRouter(options.name(), options.logRetentionMicros()));
    outbox.setConfigurationOffset(configuration::offset);
    directory = new UpstreamDirectory(options.region(), UNREACHABLE_BACKOFF_MICROS);
    upstreamTracker = new UpstreamTracker(options, outbox, directory, random.split());
    poison =
        new RequestQuarantine(
            outbox,
            options.counters(),
            this::otherRouters,
            random.split(),
            options.quarantineMicros());
    table = new RequestTable(outbox, options);
    screening =
        new RequestScreening(
            options,
            configuration,
            table,
            poison,
            new ServedVersions(directory, options.counters()));
    OfferRounds rounds = new OfferRounds(options, outbox, directory, poison, random.split());
    RetryPlanner retries = new RetryPlanner(options, directory, random.split());
    SlownessMonitor slowness = new SlownessMonitor(options, directory);
    chats = new ChatFlow(options, outbox, table, screening, rounds, retries, poison, slowness);
    PriorityEnginesCheck priorityEngines = new PriorityEnginesCheck(directory);
    publications = new PendingPublications(outbox, configuration, priorityEngines::check);
    rollouts = new RolloutRecorder(options.name(), outbox, directory, options.counters());
    calls = new CallFlow(options, retries, outbox, table, screening, directory, configuration);
  }

  /**
   * Handles one event.
   *
   * @param event the event
   * @param nowMicros time of the event, in microseconds since the epoch; never decreases
   */
  public void handle(RouterEvent event, long nowMicros) {
    latestMicros = nowMicros;
    if (isRequest(event)) {
      onRequest(event, nowMicros);
    } else {
      dispatch(event, nowMicros);
      releaseParked(nowMicros);
    }
    announceDrained();
  }

  /** Returns whether the router has drained. */
  public boolean isDrained() {
    return isDrained;
  }

  /** Returns a snapshot of the router's state as of the latest event. */
  public RouterStatus status() {
    return new RouterStatus(
        options.name(),
        options.incarnation(),
        configuration.state().offset(),
        configuration.isBehind(),
        screening.isDraining(),
        table.size(),
        poison.quarantinedCount(),
        directory.listVersion(),
        directory.all().stream()
            .map(upstream -> RouterStatus.UpstreamView.of(upstream, latestMicros))
            .toList());
  }

  /** Returns the explanation of an open or recently finished request. */
  public Optional<Explanation> explain(RequestId request) {
    return table.explain(request);
  }

  /**
   * Publishes a change of the configuration.
   *
   * @param change change to publish
   * @param onEnd receives the result, on the decision thread
   * @param nowMicros time in microseconds since the epoch
   */
  public void publish(ChangeRequest change, Consumer<PublicationResult> onEnd, long nowMicros) {
    long deadlineMicros = nowMicros + PendingPublications.DEFAULT_TIMEOUT_MICROS;
    publications.publish(change, deadlineMicros, onEnd, nowMicros);
  }

  /** Returns the configuration records that are still held, oldest first. */
  public List<HistoryEntry> configurationHistory() {
    return configuration.history();
  }

  /** Returns the published INI text of a template that is in force. */
  public Optional<String> templateSource(String template) {
    return configuration.state().version(template).flatMap(TemplateVersion::source);
  }

  /**
   * Returns, for each known instance, the offset below which it has applied the configuration, as
   * last reported; -1 if it has not reported. Also requests an update from the instances that are
   * behind this router, so that a later call returns newer offsets.
   */
  public Map<String, Long> appliedConfigurationOffsets() {
    Map<String, Long> offsets = new TreeMap<>();
    Map<String, Long> reported = configuration.peerOffsets();
    upstreamTracker
        .peerNames()
        .forEach(name -> offsets.put(name, reported.getOrDefault(name, -1L)));
    offsets.put(options.name(), configuration.offset());
    PeerMessage update = new PeerMessage.ConfigurationRequest(configuration.offset());
    offsets.forEach(
        (name, offset) -> {
          if (offset < configuration.offset()) {
            outbox.send(name, update);
          }
        });
    return offsets;
  }

  private static boolean isRequest(RouterEvent event) {
    return event instanceof RouterEvent.ChatRequested
        || event instanceof RouterEvent.CallRequested
        || event instanceof RouterEvent.MalformedRequested
        || event instanceof RouterEvent.ModelsRequested;
  }

  private void onRequest(RouterEvent event, long nowMicros) {
    if (!configuration.isBehind() || screening.isDraining()) {
      admit(event, nowMicros);
    } else if (!parked.add(event, nowMicros)) {
      refuseOutdated(event, nowMicros);
    }
  }

  private void admit(RouterEvent event, long nowMicros) {
    if (event instanceof RouterEvent.ChatRequested chat) {
      chats.onRequested(chat, nowMicros);
    } else if (event instanceof RouterEvent.CallRequested call) {
      calls.onRequested(call, nowMicros);
    } else if (event instanceof RouterEvent.ModelsRequested models) {
      onModelsRequested(models, nowMicros);
    } else if (event instanceof RouterEvent.MalformedRequested unreadable) {
      onUnreadableRequested(unreadable, nowMicros);
    }
  }

  private void dispatch(RouterEvent event, long nowMicros) {
    if (event instanceof RouterEvent.PeerMessageReceived received) {
      onEnvelope(received.envelope(), nowMicros);
    } else if (event instanceof RouterEvent.Tick) {
      onTick(nowMicros);
    } else if (event instanceof RouterEvent.CallerConsumed consumed) {
      chats.streams().onConsumed(consumed);
    } else if (event instanceof RouterEvent.CallerGone gone) {
      onCallerGone(gone.request(), nowMicros);
    } else if (event instanceof RouterEvent.PeerUnreachable unreachable) {
      onPeerDown(unreachable.peer(), false, nowMicros);
    } else if (event instanceof RouterEvent.PeerLost lost) {
      onPeerDown(lost.peer(), true, nowMicros);
    } else if (event instanceof RouterEvent.InstancesRead read) {
      upstreamTracker.onInstances(read.list(), nowMicros);
      configuration.retainPeers(upstreamTracker.peerNames());
    } else if (event instanceof RouterEvent.DrainRequested) {
      screening.drain();
    } else {
      onLogEvent(event, nowMicros);
    }
  }

  private void onLogEvent(RouterEvent event, long nowMicros) {
    if (event instanceof RouterEvent.LogRead read) {
      configuration.onLogRead(read.page(), nowMicros);
      poison.onLogRead(read.page(), nowMicros);
      publications.onTick(nowMicros);
    } else if (event instanceof RouterEvent.LogReadFailed failed) {
      configuration.onLogReadFailed(failed.stream(), nowMicros);
    } else if (event instanceof RouterEvent.LogAppended appended) {
      poison.onAppended(appended.token());
      publications.onLogAppended(appended.token(), nowMicros);
    } else if (event instanceof RouterEvent.LogAppendFailed failed) {
      poison.onAppendFailed(failed.token(), nowMicros);
      publications.onLogAppendFailed(failed.token(), failed.mayHaveTakenEffect(), nowMicros);
    }
  }

  private void onEnvelope(Envelope envelope, long nowMicros) {
    configuration.onEnvelope(envelope, nowMicros);
    directory.onMessage(envelope.sender(), nowMicros);
    PeerMessage message = envelope.message();
    if (message instanceof PeerMessage.Tokens tokens) {
      chats.streams().onTokens(tokens, nowMicros);
    } else if (message instanceof PeerMessage.OfferReply reply) {
      chats.onReply(reply, nowMicros);
    } else if (message instanceof PeerMessage.Ended ended) {
      chats.streams().onEnded(ended, nowMicros);
    } else if (message instanceof PeerMessage.Failed failed) {
      onFailed(failed, nowMicros);
    } else if (message instanceof PeerMessage.CallAnswer answer) {
      calls.onAnswer(answer, nowMicros);
    } else if (message instanceof PeerMessage.SidecarStatus status) {
      directory.onStatus(status, envelope.senderIncarnation());
    } else if (message instanceof PeerMessage.Quarantine quarantine) {
      poison.onMessage(quarantine, nowMicros);
    }
  }

  private void onFailed(PeerMessage.Failed failed, long nowMicros) {
    if (table.findCall(failed.attempt().request()).isPresent()) {
      calls.onFailed(failed, nowMicros);
    } else {
      chats.onFailed(failed, nowMicros);
    }
  }

  private void onTick(long nowMicros) {
    configuration.onTick(nowMicros);
    publications.onTick(nowMicros);
    upstreamTracker.onTick(nowMicros);
    if (!configuration.isBehind()) {
      rollouts.onTick(configuration.state(), nowMicros);
    }
    poison.onTick(nowMicros);
    for (Exchange exchange : table.all()) {
      if (exchange instanceof ChatExchange chat) {
        chats.onTick(chat, nowMicros);
      } else if (exchange instanceof CallExchange call) {
        calls.onTick(call, nowMicros);
      }
    }
  }

  private void onPeerDown(String peer, boolean wasConnected, long nowMicros) {
    directory.onDisconnected(peer);
    for (Exchange exchange : table.all()) {
      if (exchange instanceof ChatExchange chat) {
        chats.onPeerDown(chat, peer, wasConnected, nowMicros);
      } else if (exchange instanceof CallExchange call) {
        calls.onPeerDown(call, peer, wasConnected, nowMicros);
      }
    }
  }

  private void onCallerGone(RequestId request, long nowMicros) {
    parked.remove(request);
    table.findChat(request).ifPresent(chat -> chats.onCallerGone(chat, nowMicros));
    table.findCall(request).ifPresent(call -> calls.onCallerGone(call, nowMicros));
  }

  private void onModelsRequested(RouterEvent.ModelsRequested models, long nowMicros) {
    Either<Refusal, TeamTemplate> team =
        screening.authenticate(models.request(), models.key(), nowMicros);
    if (team.isLeft()) {
      table.refuseUnadmitted(models.request(), "", "models", team.getLeft(), nowMicros);
      return;
    }
    outbox.emit(
        new RouterCommand.AnswerModels(
            models.request(), List.of(team.get().modelVersion().model())));
  }

  private void onUnreadableRequested(RouterEvent.MalformedRequested request, long nowMicros) {
    Either<Refusal, TeamTemplate> team =
        screening.authenticate(request.request(), request.key(), nowMicros);
    String name = team.map(TeamTemplate::name).getOrElse("");
    Refusal refusal = team.isLeft() ? team.getLeft() : request.refusal();
    table.refuseUnadmitted(request.request(), name, "", refusal, nowMicros);
  }

  private void releaseParked(long nowMicros) {
    if (parked.isEmpty()) {
      return;
    }
    boolean isReady = !configuration.isBehind() || screening.isDraining();
    Optional<RouterEvent> next = isReady ? parked.poll() : parked.pollExpired(nowMicros);
    while (next.isPresent()) {
      if (isReady) {
        admit(next.get(), nowMicros);
      } else {
        refuseOutdated(next.get(), nowMicros);
      }
      next = isReady ? parked.poll() : parked.pollExpired(nowMicros);
    }
  }

  private void refuseOutdated(RouterEvent event, long nowMicros) {
    ParkedRequests.requestOf(event)
        .ifPresent(
            request ->
                table.refuseUnadmitted(
                    request,
                    "",
                    "",
                    Refusal.notRun(
                        RefusalReason.CONFIGURATION_BEHIND,
                        "The router does not have the latest configuration yet.",
                        nowMicros + CONFIGURATION_RETRY_AFTER_MICROS),
                    nowMicros));
  }

  private void announceDrained() {
    if (screening.isDraining() && table.size() == 0 && !isDrained) {
      isDrained = true;
      outbox.emit(new RouterCommand.Drained());
    }
  }

  private List<String> otherRouters() {
    return directory.routers().stream()
        .map(Instance::name)
        .filter(name -> !name.equals(options.name()))
        .toList();
  }
}
