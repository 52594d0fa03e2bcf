package org.shallothook.coordination.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.shallothook.coordination.allowance.AllowanceCharge;
import org.shallothook.coordination.forward.PendingRequest.Phase;
import org.shallothook.coordination.forward.PromptPlacement.Placement;
import org.shallothook.coordination.origin.Origin;
import org.shallothook.coordination.port.Decision;
import org.shallothook.coordination.port.LatencyStep;
import org.shallothook.coordination.quarantine.CrashEvidence.Quarantine;
import org.shallothook.coordination.quarantine.RequestSignature;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.route.CallKind;
import org.shallothook.state.route.CallerTeam;
import org.shallothook.state.route.PromptOutline;
import org.shallothook.state.route.Route;
import org.shallothook.state.route.RouteTable;
import org.shallothook.state.route.ServiceTraits;
import org.shallothook.state.route.ServiceTraits.EngineTraits;

/**
 * Makes all decisions of a forwarding router; events go in, commands come out.
 *
 * <pre>{@code
 * ForwardCore core = new ForwardCore(options, commands::add);
 * core.handle(new ForwardEvent.Tick(), nowMicros);
 * }</pre>
 *
 * <p>Invariant: the same events at the same times give the same commands, and each request gets
 * exactly one final response. Not thread-safe: one decision thread owns it.
 */
public final class ForwardCore {
  /** Longest time between two ticks, in microseconds. */
  public static final long TICK_INTERVAL_MICROS = 40_000;

  /**
   * Divisor of a request's target: how long it may wait while no server of its service is usable.
   */
  private static final int NO_SERVER_WAIT_DIVISOR = 8;

  /** Divisor of a request's total time: how long it may wait for a free slot at a server. */
  private static final int SLOT_WAIT_DIVISOR = 4;

  /** Time after which callers of a service without usable servers should retry, in microseconds. */
  private static final long NO_SERVER_RETRY_DELAY_MICROS = 500_000;

  /** Time after which callers of a router without a configuration should retry, in microseconds. */
  private static final long NO_CONFIGURATION_RETRY_DELAY_MICROS = 300_000;

  /**
   * Time after which callers of a leaving router should retry, in microseconds; short, as the retry
   * reaches another router.
   */
  private static final long LEAVING_RETRY_DELAY_MICROS = 100_000;

  /** Attempts of a request that may end without a run before the caller is told to retry. */
  private static final int MAX_REJECTIONS = 3;

  /**
   * Time after which a moved stream that servers have rejected too often is sent again, in
   * microseconds.
   */
  private static final long REJECTED_STREAM_DELAY_MICROS = 250_000;

  /** Pause of a server that rejected a request, in microseconds, so that slots become free. */
  private static final long REJECTED_PAUSE_MICROS = 60_000;

  /**
   * Multiple of the stream gap target after which an attempt at a silent server counts as broken.
   */
  private static final long STALL_GAP_TARGETS = 3;

  /**
   * Upper limit of the minimum time before a request counts as stuck, in microseconds; the minimum
   * is the route's target if that is shorter.
   */
  private static final double MAX_STUCK_FLOOR_MICROS = 700_000;

  /** Multiple of the expected time after which a request counts as stuck. */
  private static final double STUCK_FACTOR = 3;

  /**
   * Time for which a server must survive the beginning of an answer, in microseconds, before a
   * crash no longer counts against its request.
   */
  private static final long SURVIVAL_MICROS = 1_000_000;

  /** Maximum time without a response from a server with open requests, in microseconds. */
  static final long MAX_SILENCE_MICROS = 1_200_000;

  /** Order in which waiting requests are sent. */
  private static final Comparator<PendingRequest> SEND_ORDER =
      Comparator.comparingInt(PendingRequest::priority)
          .thenComparingLong(PendingRequest::arrivedMicros)
          .thenComparingLong(PendingRequest::number);

  /**
   * Time before the end of a leaving router at which open requests get their final response, in
   * microseconds, so that it still leaves the process.
   */
  private static final long FINAL_RESPONSE_MICROS = 100_000;

  private final ForwardOptions options;
  private final Consumer<ForwardCommand> commands;
  private final ForwardJournal journal;
  private final ServerDirectory servers = new ServerDirectory();
  private final VersionEligibility eligibility;
  private final FleetRetryBudget retries;
  private final CrashDetector crashes = new CrashDetector();
  private final RunningClock clock = new RunningClock();
  private final CrashQuarantine quarantine;
  private final PromptPlacement promptPlacement;
  private final PromptRecords promptRecords;
  private final ServerLimits limits;
  private final ServerPaces paces;
  private final CallPlacement callPlacement;
  private final TeamAdmission admission;
  private final SplittableRandom random;
  private final ResumableStreams streams;
  private final Map<Long, PendingRequest> open = new HashMap<>();
  private Optional<RouteTable> table = Optional.empty();
  private long tableAppliedMicros;
  private Optional<ForwardEvent.Leaving> announcedLeaving = Optional.empty();
  private boolean isRegistryReachable;
  private boolean knowsServers;
  private int routers = 1;

  /**
   * Creates a core without a configuration and servers.
   *
   * @param options settings
   * @param commands receives each command in order
   */
  public ForwardCore(ForwardOptions options, Consumer<ForwardCommand> commands) {
    this.options = Objects.requireNonNull(options, "options");
    this.commands = Objects.requireNonNull(commands, "commands");
    this.journal = new ForwardJournal(options.journal());
    this.random = new SplittableRandom(options.seed());
    this.eligibility =
        new VersionEligibility(options.versionLimitMicros(), options.settlingMicros());
    this.retries =
        new FleetRetryBudget(
            options.retryRatio(), options.retrySlack(), options.retryWindowMicros());
    this.quarantine =
        new CrashQuarantine(options.quarantineMicros(), commands, journal, options.counters());
    this.promptPlacement =
        new PromptPlacement(
            options.failureDomain(),
            new SplittableRandom(~options.seed()),
            new ServerSpeeds(options.learnsSpeeds(), commands, journal, options.counters()));
    this.promptRecords = new PromptRecords(promptPlacement, new PrefixAnnouncements(commands));
    this.limits = new ServerLimits(commands, journal, options.counters());
    this.paces = new ServerPaces(options, servers, commands, journal);
    this.admission = new TeamAdmission(options, commands, journal);
    this.callPlacement = new CallPlacement(options.failureDomain(), random.split());
    this.streams = new ResumableStreams(options, random.split(), commands, journal);
  }

  /** Returns whether configuration and servers are known, so that requests can be served. */
  public boolean isReady() {
    return table.isPresent() && knowsServers;
  }

  /** Returns the number of requests without a final response. */
  public int openRequests() {
    return open.size();
  }

  /** Returns the number of quarantines of what requests that crash servers have in common. */
  public int quarantines() {
    return quarantine.size();
  }

  /**
   * Handles one event.
   *
   * @param event what has happened
   * @param nowMicros time of the event on a steady clock, in microseconds; never decreases
   */
  public void handle(ForwardEvent event, long nowMicros) {
    clock.onEvent(nowMicros);
    admission.onEvent(nowMicros);
    if (event instanceof ForwardEvent.Requested requested) {
      onRequested(requested, nowMicros);
    } else if (event instanceof ForwardEvent.Tick) {
      onTick(nowMicros);
    } else if (event instanceof ForwardEvent.CallerGone gone) {
      find(gone.request()).ifPresent(request -> onCallerGone(request, nowMicros));
    } else if (event instanceof ForwardEvent.Unsent unsent) {
      find(unsent.request(), unsent.attempt())
          .ifPresent(request -> onUnsent(request, unsent.detail(), nowMicros));
    } else if (event instanceof ForwardEvent.ResponseReceived answered) {
      find(answered.request(), answered.attempt())
          .ifPresent(request -> onAnswered(request, answered.answer(), nowMicros));
    } else if (event instanceof ForwardEvent.OutputStarted started) {
      find(started.request(), started.attempt())
          .ifPresent(request -> request.onOutputStarted(clock.at(nowMicros)));
    } else if (event instanceof ForwardEvent.Stalled stalled) {
      find(stalled.request(), stalled.attempt())
          .ifPresent(request -> onStalled(request, nowMicros));
    } else if (event instanceof ForwardEvent.Completed completed) {
      find(completed.request(), completed.attempt())
          .ifPresent(request -> onCompleted(request, nowMicros));
    } else if (event instanceof ForwardEvent.Broken broken) {
      find(broken.request(), broken.attempt())
          .ifPresent(request -> onBroken(request, broken, nowMicros));
    } else {
      updateState(event, nowMicros);
    }
    if (paces.takeNewRoom()) {
      sendWaiting(nowMicros);
    }
  }

  private void updateState(ForwardEvent event, long nowMicros) {
    if (event instanceof ForwardEvent.RoutesRead read) {
      onRoutes(read.table(), nowMicros);
    } else if (event instanceof ForwardEvent.ServersRead read) {
      servers.onEntries(read.entries()).forEach(restarted -> onRestarted(restarted, nowMicros));
      knowsServers |= read.completesList();
      read.entries().forEach(journal::listed);
      streams.onServers(servers.all(), nowMicros);
      sendWaiting(nowMicros);
    } else if (event instanceof ForwardEvent.ServerRemoved removed) {
      servers.onRemoved(removed.id(), nowMicros);
      journal.removed(removed.id());
    } else if (event instanceof ForwardEvent.DesiredVersionChanged desired) {
      onDesiredVersion(desired, nowMicros);
    } else if (event instanceof ForwardEvent.RegistryReachable reachable) {
      isRegistryReachable = reachable.isReachable();
      servers.onReachable(reachable.isReachable(), nowMicros);
      streams.onReachable(reachable.isReachable(), nowMicros);
    } else if (event instanceof ForwardEvent.RegistryRestored) {
      servers.onRestored(nowMicros);
      streams.onRestored(nowMicros);
    } else if (event instanceof ForwardEvent.SoftwareDeclared declared) {
      streams.onDeclared(declared.positions(), nowMicros);
    } else if (event instanceof ForwardEvent.StreamsRecorded recorded) {
      streams.onRecorded(recorded.keys());
    } else if (event instanceof ForwardEvent.OriginsRead read) {
      streams.onRead(read.allBeforeMicros());
      findOrigins(nowMicros);
    } else if (event instanceof ForwardEvent.RecordingEnded ended) {
      streams.onWritten(ended.isDone());
      relayRecorded(nowMicros);
    } else if (event instanceof ForwardEvent.StatusReceived received) {
      // Waiting requests are reconsidered with the next tick; in large fleets statuses are too
      // frequent for doing it with each one.
      servers
          .onStatus(received.status(), nowMicros)
          .ifPresent(server -> paces.onReady(server, received.status(), nowMicros));
    } else if (event instanceof ForwardEvent.PrefixesAnnounced announced) {
      promptPlacement
          .prefixLocations()
          .onAnnounced(announced.prefixHashes(), announced.server(), nowMicros);
    } else if (event instanceof ForwardEvent.CrashAnnounced announced) {
      quarantine.onCrashAnnounced(announced.crash(), announced.signature(), nowMicros);
    } else if (event instanceof ForwardEvent.ClearedAnnounced announced) {
      quarantine.onClearedAnnounced(announced.keys(), nowMicros);
    } else if (event instanceof ForwardEvent.QuarantineLearned learned) {
      quarantine.onQuarantined(learned.key(), learned.untilMicros(), learned.source(), nowMicros);
    } else if (event instanceof ForwardEvent.ServerChecked checked) {
      onServerChecked(checked.server(), checked.hasCrashed(), nowMicros);
    } else if (event instanceof ForwardEvent.Leaving leaving) {
      announcedLeaving = Optional.of(leaving);
    } else if (event instanceof ForwardEvent.LimitAnnounced announced) {
      servers
          .find(announced.server())
          .ifPresent(server -> limits.onAnnounced(server, announced, nowMicros));
    } else if (event instanceof ForwardEvent.PacesAnnounced announced) {
      paces.onAnnounced(announced, nowMicros);
    } else if (event instanceof ForwardEvent.SpeedsAnnounced announced) {
      promptPlacement.speeds().onAnnounced(announced.speeds(), servers::find, nowMicros);
    } else if (event instanceof ForwardEvent.TeamUseAnnounced announced) {
      admission.onAnnounced(announced, nowMicros);
    } else if (event instanceof ForwardEvent.RoutersKnown known) {
      routers = known.fleet().size();
      retries.onRouterCount(routers);
      promptRecords.onRouterCount(routers);
      limits.onFleet(known.fleet(), servers.all(), nowMicros);
      paces.onFleet(known.fleet());
      admission.onFleet(known.fleet(), nowMicros);
    }
  }

  private void onRestarted(String name, long nowMicros) {
    promptPlacement.prefixLocations().onCacheLost(name);
    servers.find(name).ifPresent(server -> limits.onRestarted(server, nowMicros));
    servers.find(name).ifPresent(server -> paces.onRestarted(server, nowMicros));
  }

  private void onRoutes(RouteTable newTable, long nowMicros) {
    if (table.filter(known -> known.version() >= newTable.version()).isPresent()) {
      return;
    }
    table = Optional.of(newTable);
    tableAppliedMicros = nowMicros;
    streams.onRoutes(newTable);
    admission.onRoutes(newTable, nowMicros);
    commands.accept(new ForwardCommand.Limit(newTable.limits()));
    journal.applied(newTable);
  }

  private void onDesiredVersion(ForwardEvent.DesiredVersionChanged desired, long nowMicros) {
    if (eligibility.onDesiredVersion(desired.version(), desired.written(), nowMicros)) {
      journal.desiredVersion(desired.version(), desired.written(), nowMicros);
    }
  }

  private void onRequested(ForwardEvent.Requested event, long nowMicros) {
    RequestHead head = event.head();
    if (table.isEmpty()) {
      refuseOnArrival(
          event,
          Refusal.notRun(
              RefusalReason.CONFIGURATION_BEHIND,
              "This router has no configuration yet.",
              nowMicros + NO_CONFIGURATION_RETRY_DELAY_MICROS));
      return;
    }
    RouteTable current = table.get();
    Optional<Route> route = current.match(head.host(), head.target());
    if (route.isEmpty()) {
      refuseOnArrival(
          event, refusalOfUnknown(RefusalReason.NOT_FOUND, "No route matches.", nowMicros));
      return;
    }
    boolean needsKey = current.needsKeys() && !route.get().isPublic();
    Optional<CallerTeam> team = head.key().flatMap(current::teamOf);
    if (needsKey && team.isEmpty()) {
      refuseOnArrival(
          event, refusalOfUnknown(RefusalReason.UNKNOWN_KEY, "No team holds the key.", nowMicros));
      return;
    }
    RequestSignature signature = head.signature();
    Optional<Quarantine> refused = quarantine.check(signature, nowMicros);
    if (refused.isPresent()) {
      refuseOnArrival(
          event,
          Refusal.notRun(
              RefusalReason.CRASHES_UPSTREAMS,
              detailOf(refused.get()),
              refused.get().untilMicros()));
      return;
    }
    boolean isRefusing =
        announcedLeaving.filter(leaving -> nowMicros >= leaving.refusesFromMicros()).isPresent();
    if (isRefusing && !endsBeforeShutdown(event, route.get(), nowMicros)) {
      refuseOnArrival(
          event,
          Refusal.notRun(
              RefusalReason.ROUTER_LEAVING,
              "The router is being stopped.",
              nowMicros + LEAVING_RETRY_DELAY_MICROS));
      return;
    }
    TeamAdmission.Admission admitted = admission.admit(head, team, route.get(), nowMicros);
    if (admitted.refusal().isPresent()) {
      refuseOnArrival(event, admitted.refusal().get());
      return;
    }
    open(event, route.get(), team, admitted.charge(), signature, nowMicros);
  }

  /**
   * Returns whether a leaving router may still accept a request: open streams keep the process up,
   * and the request ends before it does.
   */
  private boolean endsBeforeShutdown(ForwardEvent.Requested event, Route route, long nowMicros) {
    long routeDeadlineMicros = nowMicros + route.timeoutMicros();
    long latestEndMicros =
        Math.min(
            routeDeadlineMicros, event.head().callerDeadlineMicros().orElse(routeDeadlineMicros));
    boolean hasStreams =
        open.values().stream().anyMatch(pending -> pending.route().kind() == CallKind.STREAMING);
    return hasStreams && !mustEndBy(latestEndMicros);
  }

  /** Returns whether the process is leaving and its open requests get their responses by a time. */
  private boolean mustEndBy(long micros) {
    return announcedLeaving
        .filter(leaving -> micros >= leaving.endsAtMicros() - FINAL_RESPONSE_MICROS)
        .isPresent();
  }

  /**
   * Returns the refusal of a request that the configuration does not allow. A router that cannot
   * read the registry may have an outdated configuration, so it asks the caller to retry instead.
   */
  private Refusal refusalOfUnknown(RefusalReason reason, String detail, long nowMicros) {
    return isRegistryReachable
        ? Refusal.notRun(reason, detail)
        : Refusal.notRun(
            RefusalReason.CONFIGURATION_BEHIND,
            detail + " The configuration may be older than the one in force.",
            nowMicros + NO_CONFIGURATION_RETRY_DELAY_MICROS);
  }

  private void open(
      ForwardEvent.Requested event,
      Route route,
      Optional<CallerTeam> team,
      Optional<AllowanceCharge> charge,
      RequestSignature signature,
      long nowMicros) {
    long routeDeadlineMicros = nowMicros + route.timeoutMicros();
    long deadlineMicros =
        Math.min(
            routeDeadlineMicros, event.head().callerDeadlineMicros().orElse(routeDeadlineMicros));
    PendingRequest request =
        new PendingRequest(
            event.request(),
            event.head(),
            route,
            team,
            charge,
            route.serviceFor(random.nextInt()),
            signature,
            table.orElseThrow().version(),
            nowMicros,
            deadlineMicros);
    open.put(event.request(), request);
    retries.onRequest(request.service(), nowMicros);
    if (streams.isResumed(request)) {
      request.awaitOrigin();
      findOrigin(request, nowMicros);
      return;
    }
    waitForServer(request, nowMicros);
    if (servers.hasLimited(request.service(), nowMicros)) {
      // Requests that already wait for a limited server come first.
      sendWaiting(nowMicros);
    } else {
      sendOrWait(request, nowMicros);
    }
    if (request.phase() == Phase.WAITING && open.containsKey(request.number())) {
      journal.waiting(request);
    }
  }

  /** Looks again which software versions began the streams of the requests that wait for it. */
  private void findOrigins(long nowMicros) {
    for (PendingRequest request : List.copyOf(open.values())) {
      if (request.phase() == Phase.UNRESOLVED) {
        findOrigin(request, nowMicros);
      }
    }
  }

  /**
   * Sends a request that resumes a stream to the software version that began it, or refuses it if
   * that is not known in time or serves no more.
   */
  private void findOrigin(PendingRequest request, long nowMicros) {
    Origin origin = streams.find(request, nowMicros);
    if (origin.version().isPresent()) {
      request.beganAt(origin.version().get());
      waitForServer(request, nowMicros);
      sendOrWait(request, nowMicros);
    } else if (origin.knowledge() == Origin.Knowledge.UNKNOWN) {
      String detail = "It is not known which software version began the stream.";
      end(request, RefusalReason.STREAM_ORIGIN_UNKNOWN, detail, nowMicros);
    } else if (nowMicros >= request.arrivedMicros() + request.route().targetMicros()) {
      String detail = "The software version that began the stream could not be read in time.";
      end(request, RefusalReason.STREAM_ORIGIN_UNKNOWN, detail, nowMicros);
    }
  }

  /** Relays the responses whose streams are recorded, or need not wait for that any longer. */
  private void relayRecorded(long nowMicros) {
    for (long number : streams.held()) {
      Optional<PendingRequest> request = find(number);
      if (request.isEmpty()) {
        streams.forget(number);
      }
      request.ifPresent(
          waiting ->
              streams
                  .release(waiting, servers, nowMicros)
                  .ifPresent(response -> relay(waiting, response, nowMicros)));
    }
  }

  private static void waitForServer(PendingRequest request, long nowMicros) {
    long maxWaitMicros = request.route().targetMicros() / NO_SERVER_WAIT_DIVISOR;
    long deadlineMicros = request.deadlineMicros();
    request.waitUntil(
        request.mustContinue()
            ? deadlineMicros
            : Math.min(deadlineMicros, nowMicros + maxWaitMicros));
  }

  /** Sends a request if a server has a free slot for it; otherwise lets it wait or refuses it. */
  private void sendOrWait(PendingRequest request, long nowMicros) {
    Optional<Quarantine> refused =
        quarantine.quarantinedSince(request.signature(), request.arrivedMicros());
    if (refused.isPresent()) {
      end(
          request,
          RefusalReason.CRASHES_UPSTREAMS,
          detailOf(refused.get()),
          refused.get().untilMicros(),
          nowMicros);
      return;
    }
    if (isStranded(request, nowMicros)) {
      endStranded(request, nowMicros);
      return;
    }
    Optional<PromptOutline> prompt = request.prompt();
    List<Server> eligible = eligible(request, nowMicros);
    List<Server> allowed = eligible.stream().filter(request::mayUse).toList();
    List<Server> untried = allowed.stream().filter(server -> !request.hasTried(server)).toList();
    List<Server> candidates = untried.isEmpty() ? allowed : untried;
    if (request.mustContinue() && !mayResumeNow(request, candidates, nowMicros)) {
      return;
    }
    boolean isDecided =
        prompt.isPresent()
            ? placePrompt(request, prompt.get(), candidates, nowMicros)
            : placeCall(request, candidates, nowMicros);
    if (isDecided || isRefusedForLimits(request, candidates, nowMicros)) {
      return;
    }
    Optional<Long> reopensAt =
        candidates.isEmpty()
            ? servers.reopensAtMicros(request.service(), request::matchesOrigin, nowMicros)
            : Optional.empty();
    if (reopensAt.filter(at -> at > request.waitUntilMicros()).isPresent()) {
      String detail = "Every server has asked for a pause.";
      countUnresumed(request);
      end(request, RefusalReason.NO_UPSTREAM, detail, reopensAt.get(), nowMicros);
    } else if (nowMicros >= request.waitUntilMicros()) {
      countUnresumed(request);
      refuseAfterWait(request, eligible.isEmpty(), nowMicros);
    } else if (!candidates.isEmpty()) {
      request.waitUntil(slotWaitEndMicros(request));
    }
  }

  /** Returns the servers that may run a request, whether or not they have a free slot. */
  private List<Server> eligible(PendingRequest request, long nowMicros) {
    List<Server> admitted =
        request.admittedBySoftware(servers.usable(request.service(), nowMicros));
    List<Server> usable = streams.preferred(request, admitted, nowMicros);
    return request
        .prompt()
        .map(outline -> eligibility.eligible(usable, outline.model(), nowMicros))
        .orElse(usable);
  }

  /** Returns whether another server could take the request from its silent one now. */
  private boolean hasOtherServer(PendingRequest request, long nowMicros) {
    return eligible(request, nowMicros).stream()
        .anyMatch(server -> request.mayMoveTo(server) && server.hasFreeSlot(nowMicros));
  }

  /**
   * Returns whether a moved stream can be sent to one of some servers now, with a retry that is
   * taken for it. Otherwise it waits, until its deadline if need be.
   */
  private boolean mayResumeNow(PendingRequest request, List<Server> candidates, long nowMicros) {
    if (nowMicros < request.resumesFromMicros()
        || candidates.stream().noneMatch(server -> server.hasFreeSlot(nowMicros))
        || !tryAcquireRetry(request, nowMicros)) {
      return false;
    }
    request.reserveRetry();
    return true;
  }

  /** Returns whether no listed server can go on with the stream of a request. */
  private boolean isStranded(PendingRequest request, long nowMicros) {
    return request.origin().isPresent()
        && !servers.hasListed(
            request.service(),
            server -> request.mayUse(server) && request.matchesOrigin(server),
            nowMicros);
  }

  private void endStranded(PendingRequest request, long nowMicros) {
    countUnresumed(request);
    String detail = "No other server with the software that began the stream is listed.";
    end(request, RefusalReason.SOFTWARE_VERSION_GONE, detail, nowMicros);
  }

  private void countUnresumed(PendingRequest request) {
    if (request.origin().isPresent()) {
      options.counters().increment("streams.resume-impossible");
    }
  }

  /** Returns until when a request may wait for a slot at a server. */
  private static long slotWaitEndMicros(PendingRequest request) {
    long maxWaitMicros = (request.deadlineMicros() - request.arrivedMicros()) / SLOT_WAIT_DIVISOR;
    return Math.max(request.waitUntilMicros(), request.arrivedMicros() + maxWaitMicros);
  }

  /**
   * Refuses a request immediately if the limits of all servers that could take it keep it waiting
   * for too long, behind the requests that precede it.
   */
  private boolean isRefusedForLimits(
      PendingRequest request, List<Server> candidates, long nowMicros) {
    if (!ServerLimits.areExhausted(candidates, nowMicros)) {
      return false;
    }
    long preceding =
        open.values().stream()
            .filter(other -> other.phase() == Phase.WAITING && other != request)
            .filter(other -> other.service().equals(request.service()))
            .filter(other -> SEND_ORDER.compare(other, request) < 0)
            .count();
    long availableAtMicros = ServerLimits.availableMicros(candidates, (int) preceding, nowMicros);
    if (availableAtMicros <= slotWaitEndMicros(request)) {
      return false;
    }
    String detail = "Every server limits the requests that it takes.";
    end(request, RefusalReason.UPSTREAM_LIMIT, detail, availableAtMicros, nowMicros);
    return true;
  }

  /** Sends or refuses a prompt; returns false if no server has a free slot for it. */
  private boolean placePrompt(
      PendingRequest request, PromptOutline prompt, List<Server> candidates, long nowMicros) {
    SendingTeam team = new SendingTeam(request, table.orElseThrow());
    ScopedPrefixes prefixes = new ScopedPrefixes(prompt, team.promptScope());
    EngineProfile profile = profileOf(request.service());
    Optional<Placement> chosen =
        promptPlacement.choose(
            candidates,
            prefixes,
            profile,
            PromptTargets.of(request),
            server ->
                eligibility.outdatedPenaltyMicros(
                    server, prompt.model(), request.route().shortestTargetMicros(), nowMicros),
            nowMicros);
    Optional<Long> delayMicros =
        chosen
            .filter(placement -> request.attempt() == 0)
            .flatMap(placement -> retryDelayMicros(request, placement));
    if (delayMicros.isPresent() && paces.mayTakeSoon(candidates, nowMicros)) {
      return false;
    }
    if (delayMicros.isPresent()) {
      long retryAtMicros = nowMicros + delayMicros.get();
      end(
          request,
          RefusalReason.QUEUE_FULL,
          "The best server would begin to read it in "
              + TimeUnit.MICROSECONDS.toMillis((long) chosen.get().waitMicros())
              + " ms.",
          retryAtMicros,
          nowMicros);
      return true;
    }
    chosen.ifPresent(
        placement -> {
          Server server = placement.server();
          request.onPlaced(placement, prefixes.at(server));
          promptRecords.onSent(request, placement, profile, nowMicros);
          send(request, server, team, Optional.of(prefixes.scopeAt(server)), nowMicros);
        });
    return chosen.isPresent();
  }

  private Optional<Long> retryDelayMicros(PendingRequest request, Placement placement) {
    if (placement.stallsStreams()) {
      return Optional.of(request.route().gapTargetMicros());
    }
    return PromptAdmission.retryDelayMicros(
        placement.waitMicros(), placement.prefillMicros(), PromptTargets.of(request));
  }

  private boolean placeCall(PendingRequest request, List<Server> candidates, long nowMicros) {
    Optional<Server> chosen = callPlacement.choose(candidates, nowMicros);
    SendingTeam team = new SendingTeam(request, table.orElseThrow());
    chosen.ifPresent(
        server -> send(request, server, team, team.undescribedPromptScope(), nowMicros));
    return chosen.isPresent();
  }

  private EngineProfile profileOf(String service) {
    Optional<EngineTraits> engine =
        table.flatMap(current -> current.service(service)).flatMap(ServiceTraits::engine);
    return new EngineProfile(
        service,
        engine.map(EngineTraits::cacheTokens).orElse(0L),
        engine.map(EngineTraits::fetchMicrosPerToken).orElse(0.0),
        table.flatMap(current -> current.cacheStore(options.failureDomain())));
  }

  private void refuseAfterWait(
      PendingRequest request, boolean hasNoEligibleServer, long nowMicros) {
    RefusalReason reason =
        hasNoEligibleServer ? RefusalReason.NO_UPSTREAM : RefusalReason.QUEUE_FULL;
    end(request, reason, "No server had a free slot in time.", nowMicros);
  }

  private void send(
      PendingRequest request,
      Server server,
      SendingTeam team,
      Optional<String> salt,
      long nowMicros) {
    Optional<PromptOutline> prompt = request.prompt();
    Optional<Long> version = prompt.flatMap(outline -> server.version(outline.model()));
    request.onSent(server, version, nowMicros, clock.at(nowMicros));
    streams.onSent(request, server, nowMicros);
    Dispatch dispatch =
        new Dispatch(
            server.name(),
            server.entry().address(),
            request.deadlineMicros(),
            team.name(),
            version,
            salt,
            prompt.map(outline -> request.priority()),
            request.placement().flatMap(Placement::fetchFrom),
            request.placement().flatMap(Placement::saveTo),
            request.lastEvent());
    commands.accept(new ForwardCommand.Send(request.number(), request.attempt(), dispatch));
    if (server.limit().isPresent()) {
      options.counters().increment("limits.sends");
    }
    journal.sent(request, server, version, nowMicros);
    if (request.attempt() == 1) {
      recordLatency(LatencyStep.PLACEMENT, request, nowMicros);
    }
  }

  private void recordLatency(LatencyStep step, PendingRequest request, long nowMicros) {
    options.counters().recordLatency(step, nowMicros - request.arrivedMicros());
  }

  private void onUnsent(PendingRequest request, String detail, long nowMicros) {
    Server server = request.server().orElseThrow();
    paces.onFailure(server, request, nowMicros);
    promptRecords.onPrefillCanceled(request, server);
    boolean isResumption = request.mustContinue();
    request.onAttemptEnded(false);
    journal.failed(request, server, "unsent: " + detail, nowMicros);
    if (isResumption) {
      request.reserveRetry();
    }
    retryOrEnd(request, RefusalReason.NO_UPSTREAM, detail, nowMicros);
  }

  private void onAnswered(PendingRequest request, ResponseHead response, long nowMicros) {
    Server server = request.server().orElseThrow();
    request.onAnswered();
    recordVersion(request, server, response);
    recordAvailability(request, server, response, nowMicros);
    limits.onResponse(server, request, response, nowMicros);
    paces.onResponse(server, request, response, clock.at(nowMicros), nowMicros);
    if (response.isNotRun()) {
      onRejected(request, server, response, nowMicros);
      return;
    }
    long durationMicros = nowMicros - request.sentMicros();
    server.onResponse(durationMicros, response.isServerError(), clock.at(nowMicros));
    request
        .placement()
        .ifPresent(
            placement ->
                promptRecords.onPrefilled(
                    request, placement, response.isSuccess(), clock.at(nowMicros), nowMicros));
    boolean isRetryable = response.isServerError() && request.route().isRepeatable();
    if (isRetryable
        && !request.hasStartedResponse()
        && request.hasRunsRemaining()
        && tryAcquireRetry(request, nowMicros)) {
      dropAttempt(request, true, nowMicros);
      journal.failed(request, server, "status " + response.status(), nowMicros);
      retry(request, Decision.RETRY, nowMicros);
      return;
    }
    if (request.mustContinue() && response.status() >= 300) {
      dropAttempt(request, true, nowMicros);
      String detail = "status " + response.status();
      journal.failed(request, server, detail, nowMicros);
      repeatOrEnd(request, detail, nowMicros);
      return;
    }
    if (request.hasStartedResponse() && response.status() >= 300) {
      dropAttempt(request, true, nowMicros);
      breakOff(request, "the stream could not be resumed: status " + response.status(), nowMicros);
      return;
    }
    if (request.origin().isPresent() && response.isSuccess()) {
      options.counters().increment("streams.resumed");
    }
    if (!streams.hold(request, response, nowMicros)) {
      relay(request, response, nowMicros);
    }
  }

  private void relay(PendingRequest request, ResponseHead response, long nowMicros) {
    Server server = request.server().orElseThrow();
    request.onRelaying(response.isSuccess(), nowMicros);
    commands.accept(
        new ForwardCommand.Relay(request.number(), request.attempt(), stallMicros(request)));
    journal.relayed(request, server, response, nowMicros);
    recordLatency(LatencyStep.FIRST_OUTPUT, request, nowMicros);
  }

  /**
   * Returns the stall timeout; only a stream that can be resumed at another server benefits from
   * one.
   */
  private static Optional<Long> stallMicros(PendingRequest request) {
    boolean mayMove = request.route().isResumable() && request.route().maximumAttempts() > 1;
    return mayMove
        ? Optional.of(STALL_GAP_TARGETS * request.route().gapTargetMicros())
        : Optional.empty();
  }

  private static void recordVersion(PendingRequest request, Server server, ResponseHead response) {
    request
        .prompt()
        .ifPresent(
            prompt ->
                response
                    .weightVersion()
                    .ifPresent(version -> server.onVersion(prompt.model(), version)));
  }

  /**
   * Applies what a response states about the server itself: that it is leaving, or closed for a
   * time.
   */
  private void recordAvailability(
      PendingRequest request, Server server, ResponseHead response, long nowMicros) {
    if (response.isLeaving() && server.onLeaving()) {
      journal.leaving(server, request);
      commands.accept(new ForwardCommand.AnnounceLeaving(server.name(), server.incarnation()));
    }
    response
        .closedMicros()
        .ifPresent(
            micros -> {
              server.closeUntil(nowMicros + micros);
              journal.closed(server, micros, request);
            });
  }

  private void onRejected(
      PendingRequest request, Server server, ResponseHead response, long nowMicros) {
    boolean isOtherInstance =
        response.instance().filter(id -> !id.equals(server.name())).isPresent();
    if (isOtherInstance) {
      server.onRemoved(nowMicros);
    } else if (response.isMisdirected() && request.expectedVersion().isPresent()) {
      String model = request.prompt().orElseThrow().model();
      server.onVersionMismatch(
          model, request.expectedVersion().get(), eligibility.desiredVersion(model));
    } else {
      server.pause(nowMicros + REJECTED_PAUSE_MICROS);
    }
    promptRecords.onPrefillCanceled(request, server);
    dropAttempt(request, false, nowMicros);
    journal.failed(request, server, "not run: status " + response.status(), nowMicros);
    if (request.mustContinue() || retries.tryRetry(request.service(), nowMicros)) {
      retryOrEnd(
          request, RefusalReason.QUEUE_FULL, "The last server rejected the request.", nowMicros);
    } else {
      end(
          request,
          RefusalReason.RETRY_BUDGET_EMPTY,
          "A server rejected the request and the retry budget is empty.",
          nowMicros);
    }
  }

  private void onCompleted(PendingRequest request, long nowMicros) {
    request.onAttemptEnded(true);
    close(request, nowMicros);
    if (request.isSuccessful()) {
      quarantine.onSurvived(request.signature(), nowMicros);
    }
    journal.completed(request, nowMicros);
    recordLatency(LatencyStep.WHOLE_ANSWER, request, nowMicros);
    sendWaiting(nowMicros);
  }

  private void onBroken(PendingRequest request, ForwardEvent.Broken broken, long nowMicros) {
    Server server = request.server().orElseThrow();
    paces.onFailure(server, request, nowMicros);
    if (broken.isReset()) {
      request.onServerFailed();
      onConnectionReset(request, server, broken.lastOutputMicros(), nowMicros);
    }
    request.onLastEvent(broken.lastEvent());
    request.onAttemptEnded(true);
    journal.failed(request, server, broken.detail(), nowMicros);
    if (crashes.isChecking(server.name()) && quarantine.hasCrashes(request.signature())) {
      request.hold();
      crashes.addWaiting(server.name(), request.number());
    } else {
      repeatOrEnd(request, broken.detail(), nowMicros);
    }
  }

  /** Repeats or resumes a request whose connection broke, or ends it if that is not possible. */
  private void repeatOrEnd(PendingRequest request, String detail, long nowMicros) {
    boolean mayResume = !request.hasStartedResponse() || request.route().isResumable();
    boolean mustContinue = request.mustContinue();
    boolean mayRepeat =
        request.route().isRepeatable() && mayResume && (mustContinue || request.hasRunsRemaining());
    if (mayRepeat && isStranded(request, nowMicros)) {
      endStranded(request, nowMicros);
    } else if (mustContinue
        ? mayContinue(request, nowMicros)
        : mayRepeat && tryAcquireRetry(request, nowMicros)) {
      retry(request, request.hasStartedResponse() ? Decision.RESUME : Decision.RETRY, nowMicros);
    } else if (request.hasStartedResponse()) {
      breakOff(request, detail, nowMicros);
    } else {
      end(request, RefusalReason.CONNECTION_LOST, detail, nowMicros);
    }
  }

  /**
   * Gives up an attempt at a silent server, if the stream can be resumed at another one right away.
   * Otherwise the server keeps it: it may have preempted the request, and goes on later.
   */
  private void onStalled(PendingRequest request, long nowMicros) {
    boolean isMoved =
        request.hasReservedRetry()
            || (hasOtherServer(request, nowMicros) && tryAcquireRetry(request, nowMicros));
    if (request.onStalled(isMoved)) {
      options.counters().increment(isMoved ? "streams.stalled-moved" : "streams.stalled-kept");
      journal.stalled(request, isMoved, nowMicros);
    }
    if (isMoved) {
      commands.accept(new ForwardCommand.GiveUp(request.number(), request.attempt()));
    }
  }

  /** Finds out whether a server that broke a connection has crashed, and whether by the request. */
  private void onConnectionReset(
      PendingRequest request, Server server, long lastOutputMicros, long nowMicros) {
    boolean hasSurvived = request.outputMicros(clock.at(lastOutputMicros)) >= SURVIVAL_MICROS;
    if (hasSurvived) {
      quarantine.onSurvived(request.signature(), nowMicros);
    }
    // A server that leaves ends its connections as well.
    if (!server.isListed(nowMicros)) {
      return;
    }
    String crash = server.name() + "/" + server.incarnation();
    CrashDetector.Suspect suspect =
        new CrashDetector.Suspect(request.head().id(), request.signature());
    if (crashes.hasCrashed(server.name(), nowMicros)) {
      if (!hasSurvived) {
        recordCrash(crash, suspect, nowMicros);
      }
      return;
    }
    if (crashes.onConnectionBroken(server.name(), crash, nowMicros)) {
      commands.accept(new ForwardCommand.CheckServer(server.name(), server.entry().address()));
    }
    if (!hasSurvived) {
      crashes.addSuspect(server.name(), suspect);
    }
  }

  private void onServerChecked(String name, boolean hasCrashed, long nowMicros) {
    CrashDetector.Result result = crashes.onChecked(name, hasCrashed, nowMicros);
    options.counters().increment(hasCrashed ? "crashes.confirmed" : "crashes.unconfirmed");
    journal.serverChecked(name, hasCrashed, result.suspects().size());
    if (hasCrashed) {
      result.suspects().forEach(suspect -> recordCrash(result.crash(), suspect, nowMicros));
    }
    for (long number : result.waiting()) {
      find(number)
          .filter(request -> request.phase() == Phase.HELD)
          .ifPresent(
              request -> repeatOrEnd(request, "the server closed the connection", nowMicros));
    }
  }

  private void recordCrash(String crash, CrashDetector.Suspect suspect, long nowMicros) {
    options.counters().increment("crashes.suspects");
    journal.crashed(crash, suspect);
    quarantine.onCrash(crash, suspect.signature(), nowMicros);
  }

  private static String detailOf(Quarantine quarantine) {
    return "Servers that began an answer to a request with "
        + RequestSignature.textOf(quarantine.key())
        + " have crashed.";
  }

  /** Drops the current attempt, so that its server stops working on it. */
  private void dropAttempt(PendingRequest request, boolean mayHaveRun, long nowMicros) {
    paces.onDropped(request, clock.at(nowMicros), nowMicros);
    commands.accept(new ForwardCommand.Drop(request.number(), request.attempt()));
    request.onAttemptEnded(mayHaveRun);
  }

  /** Returns whether a moved stream may go on at a listed server, now or before its deadline. */
  private boolean mayContinue(PendingRequest request, long nowMicros) {
    return nowMicros < request.deadlineMicros()
        && !quarantine.isSuspected(request.signature(), nowMicros)
        && !isStranded(request, nowMicros);
  }

  /**
   * Returns whether the request may still be sent once more, with a retry that was taken for it or
   * is taken from the budget now.
   */
  private boolean tryAcquireRetry(PendingRequest request, long nowMicros) {
    return nowMicros < request.deadlineMicros()
        && !quarantine.isSuspected(request.signature(), nowMicros)
        && (request.hasReservedRetry() || retries.tryRetry(request.service(), nowMicros));
  }

  private void retryOrEnd(
      PendingRequest request, RefusalReason reason, String detail, long nowMicros) {
    if (request.mustContinue() && mayContinue(request, nowMicros)) {
      if (request.rejections() > MAX_REJECTIONS) {
        request.resumeFrom(nowMicros + REJECTED_STREAM_DELAY_MICROS);
      }
      retry(request, Decision.RESUME, nowMicros);
    } else if (request.rejections() <= MAX_REJECTIONS && request.mayRetry()) {
      retry(request, Decision.RETRY, nowMicros);
    } else {
      end(request, reason, detail, nowMicros);
    }
  }

  private void retry(PendingRequest request, Decision decision, long nowMicros) {
    journal.retried(decision, request);
    waitForServer(request, nowMicros);
    sendOrWait(request, nowMicros);
  }

  private void onCallerGone(PendingRequest request, long nowMicros) {
    journal.callerGone(request, nowMicros);
    if (request.isAtServer()) {
      dropAttempt(request, true, nowMicros);
    }
    close(request, nowMicros);
    sendWaiting(nowMicros);
  }

  private void onTick(long nowMicros) {
    for (PendingRequest request : List.copyOf(open.values())) {
      if (nowMicros >= request.deadlineMicros()) {
        onDeadline(request, nowMicros);
      } else if (mustEndBy(nowMicros)) {
        onShutdown(request, nowMicros);
      }
    }
    findOrigins(nowMicros);
    streams.onTick(servers.all(), routers, nowMicros);
    relayRecorded(nowMicros);
    paces.onTick(clock.at(nowMicros), nowMicros);
    sendWaiting(nowMicros);
    promptRecords.onTick(open.values(), servers, nowMicros);
    pauseSilentServers(nowMicros);
    retryStuckRequests(nowMicros);
    withdrawFromOutdatedServers(nowMicros);
    servers.removeUnlisted(nowMicros);
    crashes.removeExpired(nowMicros).forEach(name -> onServerChecked(name, false, nowMicros));
    quarantine.onTick(routers, nowMicros);
    admission.onTick(nowMicros);
  }

  private void onDeadline(PendingRequest request, long nowMicros) {
    if (request.isAtServer()) {
      dropAttempt(request, true, nowMicros);
    }
    if (request.hasStartedResponse()) {
      breakOff(request, "the deadline has passed", nowMicros);
    } else {
      end(request, RefusalReason.DEADLINE_PASSED, "No server responded in time.", nowMicros);
    }
  }

  private void onShutdown(PendingRequest request, long nowMicros) {
    if (request.isAtServer()) {
      dropAttempt(request, true, nowMicros);
    }
    long retryAtMicros = nowMicros + LEAVING_RETRY_DELAY_MICROS;
    end(
        request,
        RefusalReason.ROUTER_LEAVING,
        "The router has been stopped.",
        retryAtMicros,
        nowMicros);
  }

  private void pauseSilentServers(long nowMicros) {
    for (Server server : servers.all()) {
      if (server.isSilent(MAX_SILENCE_MICROS, clock.at(nowMicros))) {
        server.pause(nowMicros + TICK_INTERVAL_MICROS * 2);
      }
    }
  }

  /**
   * Retries repeatable requests whose server has not responded to any request since it received
   * them, well beyond the expected time: it is cut off or hangs, and the connection does not show
   * it. Without another server that can take it, a request stays: its server may only be silent.
   */
  private void retryStuckRequests(long nowMicros) {
    for (PendingRequest request : List.copyOf(open.values())) {
      if (request.phase() != Phase.SENT || !request.route().isRepeatable()) {
        continue;
      }
      Server server = request.server().orElseThrow();
      double expectedMicros =
          request.placement().map(Placement::firstOutputMicros).orElseGet(server::responseMicros);
      double minMicros = Math.min(MAX_STUCK_FLOOR_MICROS, (double) request.route().targetMicros());
      double timeoutMicros = Math.max(minMicros, STUCK_FACTOR * expectedMicros);
      boolean isStuck =
          clock.at(nowMicros) - request.sentRunningMicros() > timeoutMicros
              && !server.hasRespondedSince(request.sentRunningMicros());
      if (isStuck && hasOtherServer(request, nowMicros) && tryAcquireRetry(request, nowMicros)) {
        request.onStalled(true);
        paces.onFailure(server, request, nowMicros);
        dropAttempt(request, true, nowMicros);
        journal.failed(request, server, "no response", nowMicros);
        retry(request, Decision.RETRY, nowMicros);
      }
    }
  }

  /**
   * Withdraws requests that wait at servers whose weights are overdue by now: a server that stands
   * still would start them whenever it goes on. Those that may not be repeated fail.
   */
  private void withdrawFromOutdatedServers(long nowMicros) {
    for (PendingRequest request : List.copyOf(open.values())) {
      boolean isOverdue =
          request.isUnanswered()
              && request
                  .prompt()
                  .flatMap(
                      prompt ->
                          request
                              .expectedVersion()
                              .filter(
                                  sent -> eligibility.isOverdue(prompt.model(), sent, nowMicros)))
                  .isPresent();
      if (isOverdue) {
        Server server = request.server().orElseThrow();
        dropAttempt(request, true, nowMicros);
        journal.failed(request, server, "its weights are overdue", nowMicros);
        repeatOrEnd(request, "the server has older weights", nowMicros);
      }
    }
  }

  private void sendWaiting(long nowMicros) {
    List<PendingRequest> waiting = new ArrayList<>();
    for (PendingRequest request : open.values()) {
      if (request.phase() == Phase.WAITING) {
        waiting.add(request);
      }
    }
    waiting.sort(SEND_ORDER);
    for (PendingRequest request : waiting) {
      sendOrWait(request, nowMicros);
    }
  }

  /** Ends a request with a refusal, whose reason and outcome cover all attempts. */
  private void end(PendingRequest request, RefusalReason reason, String detail, long nowMicros) {
    long retryAtMicros = nowMicros + NO_SERVER_RETRY_DELAY_MICROS;
    end(request, reason, detail, retryAtMicros, nowMicros);
  }

  private void end(
      PendingRequest request,
      RefusalReason reason,
      String detail,
      long retryAtMicros,
      long nowMicros) {
    close(request, nowMicros);
    if (request.hasStartedResponse()) {
      breakOff(request, detail, nowMicros);
      return;
    }
    RefusalReason finalReason = reasonAcrossAttempts(reason, request.mayHaveRun());
    Outcome outcome = request.mayHaveRun() ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    Optional<Long> retryAt = request.mayHaveRun() ? Optional.empty() : Optional.of(retryAtMicros);
    refuse(request.number(), request.head(), new Refusal(finalReason, detail, outcome, retryAt));
  }

  private static RefusalReason reasonAcrossAttempts(RefusalReason reason, boolean mayHaveRun) {
    if (mayHaveRun) {
      return reason == RefusalReason.DEADLINE_PASSED ? reason : RefusalReason.CONNECTION_LOST;
    }
    return reason == RefusalReason.DEADLINE_PASSED ? RefusalReason.DEADLINE_UNREACHABLE : reason;
  }

  private void close(PendingRequest request, long nowMicros) {
    open.remove(request.number());
    request.onClosed(nowMicros);
  }

  private void breakOff(PendingRequest request, String detail, long nowMicros) {
    close(request, nowMicros);
    commands.accept(new ForwardCommand.BreakOff(request.number(), detail));
    journal.brokenOff(request, detail, table, tableAppliedMicros, nowMicros);
  }

  private void refuseOnArrival(ForwardEvent.Requested event, Refusal refusal) {
    refuse(event.request(), event.head(), refusal);
  }

  private void refuse(long number, RequestHead head, Refusal refusal) {
    options.counters().refused(refusal.reason());
    commands.accept(new ForwardCommand.Refuse(number, refusal));
    journal.refused(head, refusal, table);
  }

  private Optional<PendingRequest> find(long number) {
    return Optional.ofNullable(open.get(number));
  }

  private Optional<PendingRequest> find(long number, int attempt) {
    return find(number).filter(request -> request.isAtServer() && request.attempt() == attempt);
  }
}
