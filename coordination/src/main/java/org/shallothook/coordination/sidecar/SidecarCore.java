package org.shallothook.coordination.sidecar;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import org.shallothook.coordination.admission.Admission;
import org.shallothook.coordination.admission.AttemptRecord;
import org.shallothook.coordination.engine.CacheFollower;
import org.shallothook.coordination.engine.EngineChange;
import org.shallothook.coordination.engine.EngineMonitor;
import org.shallothook.coordination.hotprefix.HotPrefixes;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.warmup.PrefixWarmer;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.request.RequestId;

/**
 * Decision logic of a sidecar, with a single entry point for events.
 *
 * <p>The core dispatches each event to the responsible component: the engine monitor, the cache
 * follower, admission, hot prefixes, prefix warmup, service calls, and coordination through the
 * log.
 *
 * <p>Invariant: the same events at the same times produce the same commands. Not thread-safe: used
 * on the decision thread.
 */
public final class SidecarCore {
  /** Maximum time between two ticks, in microseconds. */
  public static final long TICK_INTERVAL_MICROS = 20_000;

  private final SidecarOptions options;
  private final SidecarOutbox outbox;
  private final Counters counters;
  private final EngineMonitor engine;
  private final CacheFollower cache;
  private final OfferedKeys offeredKeys;
  private final HotPrefixes hotPrefixes;
  private final PrefixWarmer warmer;
  private final Admission admission;
  private final ServiceCalls calls;
  private final LogCoordination coordination;
  private final RouterSessions routers = new RouterSessions();
  private final LeavingSignals leavingSignals = new LeavingSignals();
  private final InstanceListMonitor instances;
  private final ReadyVersions ready;
  private List<ModelVersion> publishedReady = List.of();
  private long lastEventMicros;
  private boolean isDrainReported;

  /**
   * Creates a core without counters and with default coordination options.
   *
   * @param options options
   * @param commands receives each command, in order
   */
  public SidecarCore(SidecarOptions options, Consumer<SidecarCommand> commands) {
    this(options, commands, Counters.NONE);
  }

  /**
   * Creates a core with default coordination options.
   *
   * @param options options
   * @param commands receives each command, in order
   * @param counters counters of refusals, failures and other events
   */
  public SidecarCore(SidecarOptions options, Consumer<SidecarCommand> commands, Counters counters) {
    this(options, LogCoordinationOptions.DEFAULT, commands, counters);
  }

  /**
   * Creates a core.
   *
   * @param options options
   * @param coordinationOptions options of coordination through the log
   * @param commands receives each command, in order
   * @param counters counters of refusals, failures and other events
   */
  public SidecarCore(
      SidecarOptions options,
      LogCoordinationOptions coordinationOptions,
      Consumer<SidecarCommand> commands,
      Counters counters) {
    this.options = Objects.requireNonNull(options, "options");
    this.counters = Objects.requireNonNull(counters, "counters");
    outbox = new SidecarOutbox(Objects.requireNonNull(commands, "commands"), counters);
    engine = new EngineMonitor(options, outbox);
    cache = new CacheFollower(options, outbox, counters);
    offeredKeys = new OfferedKeys(cache, options.blockBytes());
    hotPrefixes = new HotPrefixes(options, outbox, counters, cache);
    warmer =
        new PrefixWarmer(
            options,
            coordinationOptions.versionsPerEngine(),
            outbox,
            counters,
            engine,
            hotPrefixes);
    ready = new ReadyVersions(engine, warmer);
    admission = new Admission(options, outbox, counters, engine, hotPrefixes, warmer);
    coordination = new LogCoordination(options, coordinationOptions, outbox, counters);
    calls = new ServiceCalls(options, outbox, counters, coordination.atMostOnceCalls());
    instances = new InstanceListMonitor(options, outbox);
  }

  /** Returns whether the sidecar was asked to drain and no attempt or call is open any more. */
  public boolean isDrained() {
    return leavingSignals.isDraining() && admission.isIdle() && calls.isIdle();
  }

  /** Returns the status that is reported to routers. */
  public PeerMessage.SidecarStatus status() {
    List<ModelVersion> versions = ready.update(lastEventMicros);
    return new PeerMessage.SidecarStatus(
        options.name(),
        engine.incarnation().orElse(""),
        versions,
        leavingSignals.isLeaving(),
        admission.queueDelayMicros(),
        engine.role(),
        ready.sinceMicros());
  }

  /** Returns the configuration offset in force here. */
  public long configurationOffset() {
    return coordination.configuration().offset();
  }

  /** Returns the current load. */
  public SidecarLoad load() {
    return new SidecarLoad(admission.running(), admission.waiting(), cache.size());
  }

  /** Returns the retained records of a request's attempts at this sidecar, oldest first. */
  public List<AttemptRecord> explain(RequestId request) {
    return admission.history().of(request);
  }

  /** Returns the retained records of recent attempts, oldest first. */
  public List<AttemptRecord> recentAttempts() {
    return admission.history().all();
  }

  /**
   * Handles one event.
   *
   * @param event event to handle
   * @param nowMicros time of the event, in microseconds since the epoch; never decreases
   */
  public void handle(SidecarEvent event, long nowMicros) {
    lastEventMicros = nowMicros;
    if (event instanceof SidecarEvent.PeerMessageReceived received) {
      onEnvelope(received.envelope(), nowMicros);
    } else if (event instanceof SidecarEvent.EngineTokens tokens) {
      onTokens(tokens, nowMicros);
    } else if (event instanceof SidecarEvent.Tick) {
      onTick(nowMicros);
    } else if (!handleEngineEvent(event, nowMicros)) {
      handleOtherEvent(event, nowMicros);
    }
    computePrefixesWhenIdle(nowMicros);
    reportDrained();
  }

  private void onTokens(SidecarEvent.EngineTokens tokens, long nowMicros) {
    if (!warmer.isWarmupRun(tokens.attempt())) {
      admission.onTokens(tokens, nowMicros);
    }
  }

  private void computePrefixesWhenIdle(long nowMicros) {
    if (warmer.hasPendingPrefixes() && admission.hasSpareCapacity()) {
      warmer.onEngineIdle(admission.prefillMicrosPerBlock(), nowMicros);
    }
  }

  /** Handles the end or failure of a warmup step. Returns whether the event was one. */
  private boolean handleWarmupEvent(SidecarEvent event, long nowMicros) {
    if (event instanceof SidecarEvent.EngineEnded ended && warmer.isWarmupRun(ended.attempt())) {
      warmer.onEnded(nowMicros);
      admission.onPrefixesChanged(nowMicros);
    } else if (event instanceof SidecarEvent.EngineFailed failed
        && warmer.isWarmupRun(failed.attempt())) {
      warmer.onFailed(nowMicros);
    } else {
      return false;
    }
    return true;
  }

  /** Handles an event of the engine. Returns whether the event was one. */
  private boolean handleEngineEvent(SidecarEvent event, long nowMicros) {
    if (handleWarmupEvent(event, nowMicros)) {
      return true;
    }
    if (event instanceof SidecarEvent.EngineEnded ended) {
      admission.onEnded(ended, nowMicros);
    } else if (event instanceof SidecarEvent.EngineFailed failed) {
      admission.onFailed(failed, nowMicros);
    } else if (event instanceof SidecarEvent.EngineStatus status) {
      onEngineStatus(status, nowMicros);
    } else if (event instanceof SidecarEvent.EngineUnreachable) {
      onEngineUnreachable(nowMicros);
    } else if (event instanceof SidecarEvent.CacheChanged changed) {
      cache.onChanged(changed, nowMicros);
    } else if (event instanceof SidecarEvent.CacheListed listed) {
      cache.onListed(listed, nowMicros);
    } else if (event instanceof SidecarEvent.TransferEnded ended) {
      hotPrefixes.onTransferEnded(ended, nowMicros);
      cache.onWorkStarted(nowMicros);
      admission.onPrefixesChanged(nowMicros);
    } else {
      return false;
    }
    return true;
  }

  /** Handles events of peers, services, the instance list, the log and the process. */
  private void handleOtherEvent(SidecarEvent event, long nowMicros) {
    if (event instanceof SidecarEvent.PeerLost lost) {
      onPeerGone(lost.peer(), nowMicros);
    } else if (event instanceof SidecarEvent.PeerUnreachable unreachable) {
      onPeerGone(unreachable.peer(), nowMicros);
    } else if (event instanceof SidecarEvent.ServiceAnswered answered) {
      calls.onAnswered(answered, nowMicros);
    } else if (event instanceof SidecarEvent.ServiceFailed failed) {
      calls.onFailed(failed, nowMicros);
    } else if (event instanceof SidecarEvent.InstancesRead read) {
      instances.onRead(read.list());
      coordination.onInstances(read.list());
      warmer.onInstances(read.list());
      hotPrefixes.setStore(instances.hasStore());
      setLeaving(LeavingSignals.Signal.INSTANCE_LIST, instances.isSelfLeaving(), nowMicros);
    } else if (event instanceof SidecarEvent.DrainRequested) {
      setLeaving(LeavingSignals.Signal.DRAIN, true, nowMicros);
    } else {
      if (event instanceof SidecarEvent.OrderAnswered
          || event instanceof SidecarEvent.RoleOrderAnswered) {
        engine.onOrdered(nowMicros);
      }
      coordination.onEvent(event, nowMicros);
    }
  }

  private void onEnvelope(Envelope envelope, long nowMicros) {
    switch (routers.recordIncarnation(envelope)) {
      case OUTDATED -> {
        counters.increment("messages.outdated-incarnation");
        return;
      }
      case RESTARTED -> {
        counters.increment("routers.restarted");
        releaseWorkOf(envelope.sender(), nowMicros);
      }
      case CURRENT -> {}
    }
    coordination.onEnvelope(envelope, nowMicros);
    onMessage(envelope.sender(), envelope.message(), nowMicros);
  }

  private void onMessage(String router, PeerMessage message, long nowMicros) {
    if (message instanceof PeerMessage.Offer offer) {
      onOffer(router, offer, nowMicros);
    } else if (message instanceof PeerMessage.Submit submit) {
      onSubmit(router, submit, nowMicros);
    } else if (message instanceof PeerMessage.Consumed consumed) {
      admission.onConsumed(consumed);
    } else if (message instanceof PeerMessage.Cancel cancel) {
      admission.onCancel(cancel, nowMicros);
    } else if (message instanceof PeerMessage.Quarantine quarantine) {
      admission.onQuarantine(quarantine);
    } else if (message instanceof PeerMessage.Call call) {
      calls.onCall(router, call, leavingSignals.isLeaving(), nowMicros);
    } else if (message instanceof PeerMessage.Hello hello) {
      onHello(router, hello);
    }
  }

  private void onOffer(String router, PeerMessage.Offer offer, long nowMicros) {
    engine.onWorkOffered(nowMicros);
    PeerMessage.Offer resolved = offeredKeys.resolve(offer);
    admission.onOffer(router, resolved, hotPrefixes.spread(resolved), nowMicros);
  }

  private void onSubmit(String router, PeerMessage.Submit submit, long nowMicros) {
    cache.onWorkStarted(nowMicros);
    admission
        .reservedOffer(submit.attempt())
        .map(offer -> offeredKeys.derive(offer, submit.prompt()))
        .ifPresent(keys -> admission.setKeys(submit.attempt(), keys));
    admission
        .onSubmit(router, submit, nowMicros)
        .ifPresent(
            offer ->
                hotPrefixes.onSubmitted(
                    offer, engine.maximumRunning(), admission.streamMicros(), nowMicros));
  }

  private void onHello(String router, PeerMessage.Hello hello) {
    if (hello.role() != InstanceRole.ROUTER) {
      return;
    }
    routers.connect(router);
    outbox.send(router, new PeerMessage.Hello(options.role(), options.failureDomain()));
    outbox.send(router, status());
  }

  private void onPeerGone(String peer, long nowMicros) {
    routers.disconnect(peer);
    releaseWorkOf(peer, nowMicros);
  }

  private void releaseWorkOf(String router, long nowMicros) {
    calls.onRouterGone(router);
    admission.onRouterGone(router, nowMicros);
  }

  private void onEngineStatus(SidecarEvent.EngineStatus status, long nowMicros) {
    Set<EngineChange> changes = engine.onStatus(status, nowMicros);
    if (changes.contains(EngineChange.INCARNATION)) {
      counters.increment("engine.incarnations");
      hotPrefixes.onIncarnation();
      warmer.onIncarnation();
    }
    warmer.updateWithheldVersions(nowMicros);
    admission.onEngineStatus(changes, nowMicros);
    if (options.role() != InstanceRole.SERVICE) {
      followCache(changes, nowMicros);
    }
    boolean hasLeavingChanged =
        leavingSignals.set(LeavingSignals.Signal.ENGINE, status.isLeaving());
    applyLeaving(hasLeavingChanged, nowMicros);
    if (hasLeavingChanged || !changes.isEmpty()) {
      publishStatus();
    }
  }

  private void followCache(Set<EngineChange> changes, long nowMicros) {
    if (changes.contains(EngineChange.INCARNATION)) {
      cache.onIncarnation(engine.incarnation().orElseThrow(), nowMicros);
    } else if (changes.contains(EngineChange.VERSION_REMOVED)) {
      cache.onVersionRemoved(nowMicros);
    }
  }

  private void onEngineUnreachable(long nowMicros) {
    counters.increment("engine.unreachable");
    Set<EngineChange> changes = engine.onUnreachable(nowMicros);
    admission.onEngineUnreachable(nowMicros);
    if (!changes.isEmpty()) {
      publishStatus();
    }
  }

  private void onTick(long nowMicros) {
    engine.onTick(nowMicros);
    if (options.role() != InstanceRole.SERVICE && engine.isReachable()) {
      cache.onTick(nowMicros);
    }
    instances.onTick(nowMicros);
    hotPrefixes.onTick(nowMicros);
    admission.onTick(nowMicros);
    coordination.onTick(engine, leavingSignals.isLeaving(), nowMicros);
    if (options.role() == InstanceRole.MODEL_ENGINE && !coordination.configuration().isBehind()) {
      warmer.onTick(coordination.configuration().state(), nowMicros);
    }
    if (!ready.update(nowMicros).equals(publishedReady)) {
      publishStatus();
    }
  }

  private void setLeaving(LeavingSignals.Signal signal, boolean isRaised, long nowMicros) {
    boolean hasChanged = leavingSignals.set(signal, isRaised);
    applyLeaving(hasChanged, nowMicros);
    if (hasChanged) {
      publishStatus();
    }
  }

  private void applyLeaving(boolean hasChanged, long nowMicros) {
    if (!hasChanged) {
      return;
    }
    if (leavingSignals.isLeaving()) {
      warmer.yieldToCallers();
      admission.leave(nowMicros);
    } else {
      admission.onStay();
    }
  }

  private void publishStatus() {
    PeerMessage.SidecarStatus status = status();
    publishedReady = status.ready();
    routers.connected().forEach(router -> outbox.send(router, status));
  }

  private void reportDrained() {
    if (!isDrainReported && isDrained()) {
      isDrainReported = true;
      outbox.command(new SidecarCommand.Drained());
    }
  }
}
