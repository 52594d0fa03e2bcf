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
import org.shallothook.coordination.forward.OpenForward.Phase;
import org.shallothook.coordination.forward.PromptPlacement.Place;
import org.shallothook.coordination.port.Decision;
import org.shallothook.coordination.port.LatencyStep;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.route.CallKind;
import org.shallothook.state.route.CallerTeam;
import org.shallothook.state.route.PromptOutline;
import org.shallothook.state.route.Route;
import org.shallothook.state.route.RouteTable;
import org.shallothook.state.route.ServiceTraits;
import org.shallothook.state.route.ServiceTraits.CacheStore;
import org.shallothook.state.route.ServiceTraits.EngineTraits;
import org.shallothook.state.route.WeightVersion;

/**
 * All decisions of a forwarding router behind one entrance.
 *
 * <pre>{@code
 * ForwardCore core = new ForwardCore(options, commands::add);
 * core.handle(new ForwardEvent.Tick(), nowMicros);
 * }</pre>
 *
 * <p>Invariant: the same events at the same times give the same commands, and each request gets one
 * final answer. Not thread-safe: one decision thread owns it.
 */
public final class ForwardCore {
  /** Longest time between two ticks, in microseconds. */
  public static final long TICK_INTERVAL_MICROS = 40_000;

  /** Part of a request's target that it may wait where no server of its service is usable. */
  private static final int NO_SERVER_WAIT_PART = 8;

  /** Part of a request's time that it may wait for a place at a server. */
  private static final int PLACE_WAIT_PART = 4;

  /** Time after which callers of a service without usable servers should come back. */
  private static final long NO_SERVER_RETURN_MICROS = 500_000;

  /** Time after which callers should come back to a router without a configuration. */
  private static final long NO_CONFIGURATION_RETURN_MICROS = 300_000;

  /** Time after which a refused caller reaches another router; a retry finds one at once. */
  private static final long LEAVING_RETURN_MICROS = 100_000;

  /** Servers that may turn one request away before its caller is told to come back. */
  private static final int MOST_REJECTIONS = 3;

  /** Time that a server which turned a request away is given to make room. */
  private static final long REJECTED_PAUSE_MICROS = 60_000;

  /** Accepted pauses of a stream after which a silent server is given up. */
  private static final long STALL_GAPS = 3;

  /** Greatest value of the least time after which a server may count as stuck; else the target. */
  private static final double LONGEST_LEAST_MICROS = 700_000;

  /** Times the expected time after which a request counts as stuck. */
  private static final double STUCK_FACTOR = 3;

  /** Longest time without a sign from a server at which requests are open. */
  private static final long SILENCE_MICROS = 1_200_000;

  private final ForwardOptions options;
  private final Consumer<ForwardCommand> commands;
  private final ForwardJournal journal;
  private final ServerDirectory servers = new ServerDirectory();
  private final VersionEligibility weights;
  private final FleetRetryBudget retries;
  private final CrashRegister crashes;
  private final PromptPlacement prompts;
  private final PrefixAnnouncements announcements;
  private final CallPlacement calls;
  private final SplittableRandom random;
  private final Map<Long, OpenForward> open = new HashMap<>();
  private Optional<RouteTable> table = Optional.empty();
  private Optional<Long> leavesAtMicros = Optional.empty();
  private boolean isRegistryReachable;
  private boolean knowsServers;
  private int routers = 1;

  /**
   * Creates a core that knows neither configuration nor servers.
   *
   * @param options settings
   * @param commands takes each command in order
   */
  public ForwardCore(ForwardOptions options, Consumer<ForwardCommand> commands) {
    this.options = Objects.requireNonNull(options, "options");
    this.commands = Objects.requireNonNull(commands, "commands");
    this.journal = new ForwardJournal(options.journal());
    this.random = new SplittableRandom(options.seed());
    this.weights = new VersionEligibility(options.versionDeadlineMicros());
    this.retries =
        new FleetRetryBudget(
            options.retryRatio(), options.retrySlack(), options.retryWindowMicros());
    this.crashes = new CrashRegister(options.quarantineMicros());
    this.prompts = new PromptPlacement(options.failureDomain());
    this.announcements = new PrefixAnnouncements(commands);
    this.calls = new CallPlacement(options.failureDomain(), random.split());
  }

  /** Returns whether configuration and servers are known, so that requests can be served. */
  public boolean isReady() {
    return table.isPresent() && knowsServers;
  }

  /** Returns the number of requests without a final answer. */
  public int openRequests() {
    return open.size();
  }

  /**
   * Reacts to one event.
   *
   * @param event what has happened
   * @param nowMicros time of the event on a steady clock, in microseconds; never decreases
   */
  public void handle(ForwardEvent event, long nowMicros) {
    if (event instanceof ForwardEvent.Requested requested) {
      onRequested(requested, nowMicros);
    } else if (event instanceof ForwardEvent.Tick) {
      onTick(nowMicros);
    } else if (event instanceof ForwardEvent.CallerGone gone) {
      find(gone.request()).ifPresent(request -> onCallerGone(request, nowMicros));
    } else if (event instanceof ForwardEvent.Unsent unsent) {
      find(unsent.request(), unsent.attempt())
          .ifPresent(request -> onUnsent(request, unsent.detail(), nowMicros));
    } else if (event instanceof ForwardEvent.Answered answered) {
      find(answered.request(), answered.attempt())
          .ifPresent(request -> onAnswered(request, answered.answer(), nowMicros));
    } else if (event instanceof ForwardEvent.Completed completed) {
      find(completed.request(), completed.attempt())
          .ifPresent(request -> onCompleted(request, nowMicros));
    } else if (event instanceof ForwardEvent.Broken broken) {
      find(broken.request(), broken.attempt())
          .ifPresent(request -> onBroken(request, broken, nowMicros));
    } else {
      learn(event, nowMicros);
    }
  }

  private void learn(ForwardEvent event, long nowMicros) {
    if (event instanceof ForwardEvent.RoutesRead read) {
      onRoutes(read.table());
    } else if (event instanceof ForwardEvent.ServersRead read) {
      servers
          .onRead(read.entries(), read.isWhole(), nowMicros)
          .forEach(restarted -> prompts.book().onEmptied(restarted));
      knowsServers |= read.isWhole();
      read.entries().forEach(journal::listed);
      sendWaiting(nowMicros);
    } else if (event instanceof ForwardEvent.ServerRemoved removed) {
      servers.onRemoved(removed.id(), nowMicros);
      journal.removed(removed.id());
    } else if (event instanceof ForwardEvent.DesiredVersionChanged named) {
      onVersionNamed(named.version(), nowMicros);
    } else if (event instanceof ForwardEvent.RegistryReachable reachable) {
      isRegistryReachable = reachable.isReachable();
      servers.onReachable(reachable.isReachable(), nowMicros);
    } else if (event instanceof ForwardEvent.StatusReceived heard) {
      // Waiting requests are looked at with the next tick; in large fleets statuses come too often.
      servers.onStatus(heard.status(), nowMicros);
    } else if (event instanceof ForwardEvent.PrefixesAnnounced heard) {
      prompts.book().onTold(heard.openings(), heard.server(), nowMicros);
    } else if (event instanceof ForwardEvent.CrashAnnounced heard) {
      crashes.count(heard.contentHash(), heard.crash(), nowMicros);
    } else if (event instanceof ForwardEvent.Leaving leaving) {
      leavesAtMicros = Optional.of(leaving.endsAtMicros());
    } else if (event instanceof ForwardEvent.RoutersCounted counted) {
      routers = Math.max(1, counted.routers());
      retries.onRouters(counted.routers());
    }
  }

  private void onRoutes(RouteTable newer) {
    if (table.filter(known -> known.version() >= newer.version()).isPresent()) {
      return;
    }
    table = Optional.of(newer);
    commands.accept(new ForwardCommand.Limit(newer.limits()));
    journal.applied(newer);
  }

  private void onVersionNamed(WeightVersion version, long nowMicros) {
    if (weights.onDesiredVersion(version, nowMicros)) {
      journal.wanted(version);
    }
  }

  private void onRequested(ForwardEvent.Requested event, long nowMicros) {
    RequestHead head = event.head();
    if (table.isEmpty()) {
      refuseUnopened(
          event,
          Refusal.notRun(
              RefusalReason.CONFIGURATION_BEHIND,
              "This router has no configuration yet.",
              nowMicros + NO_CONFIGURATION_RETURN_MICROS));
      return;
    }
    RouteTable current = table.get();
    Optional<Route> route = current.match(head.host(), head.target());
    if (route.isEmpty()) {
      refuseUnopened(event, unknown(RefusalReason.NOT_FOUND, "No route matches.", nowMicros));
      return;
    }
    boolean needsKey = current.needsKeys() && !route.get().isPublic();
    Optional<CallerTeam> team = head.key().flatMap(current::teamOf);
    if (needsKey && team.isEmpty()) {
      refuseUnopened(
          event, unknown(RefusalReason.UNKNOWN_KEY, "No team holds the key.", nowMicros));
      return;
    }
    if (crashes.isBarred(head.contentHash(), nowMicros)) {
      refuseUnopened(
          event, Refusal.notRun(RefusalReason.CRASHES_UPSTREAMS, "It has crashed upstreams."));
      return;
    }
    if (leavesAtMicros.isPresent() && !fitsBeforeTheEnd(event, route.get(), nowMicros)) {
      refuseUnopened(
          event,
          Refusal.notRun(
              RefusalReason.ROUTER_LEAVING,
              "The router is being stopped.",
              nowMicros + LEAVING_RETURN_MICROS));
      return;
    }
    open(event, route.get(), team, nowMicros);
  }

  /** While streams keep a leaving process up, it also takes what is sure to end before it does. */
  private boolean fitsBeforeTheEnd(ForwardEvent.Requested event, Route route, long nowMicros) {
    long byRoute = nowMicros + route.timeoutMicros();
    long latest = Math.min(byRoute, event.head().callerDeadlineMicros().orElse(byRoute));
    boolean hasStreams =
        open.values().stream().anyMatch(one -> one.route().kind() == CallKind.STREAMING);
    return hasStreams && latest < leavesAtMicros.get();
  }

  /** A router that cannot read the registry may lack what allows the request. */
  private Refusal unknown(RefusalReason reason, String detail, long nowMicros) {
    return isRegistryReachable
        ? Refusal.notRun(reason, detail)
        : Refusal.notRun(
            RefusalReason.CONFIGURATION_BEHIND,
            detail + " The configuration may be older than the one in force.",
            nowMicros + NO_CONFIGURATION_RETURN_MICROS);
  }

  private void open(
      ForwardEvent.Requested event, Route route, Optional<CallerTeam> team, long nowMicros) {
    long byRoute = nowMicros + route.timeoutMicros();
    long deadline = Math.min(byRoute, event.head().callerDeadlineMicros().orElse(byRoute));
    OpenForward request =
        new OpenForward(
            event.request(),
            event.head(),
            route,
            team,
            route.serviceFor(random.nextInt()),
            nowMicros,
            deadline);
    open.put(event.request(), request);
    retries.onRequest(request.service(), nowMicros);
    long noServer = nowMicros + route.targetMicros() / NO_SERVER_WAIT_PART;
    request.waitUntil(Math.min(deadline, noServer));
    sendOrWait(request, nowMicros);
    if (request.phase() == Phase.WAITING && open.containsKey(request.number())) {
      journal.waits(request);
    }
  }

  /** Sends a request where a server has a place for it; lets it wait or refuses it otherwise. */
  private void sendOrWait(OpenForward request, long nowMicros) {
    List<Server> usable = servers.usable(request.service(), nowMicros);
    Optional<PromptOutline> prompt = promptOf(request);
    List<Server> eligible =
        prompt.map(one -> weights.eligible(usable, one.model(), nowMicros)).orElse(usable);
    List<Server> untried = eligible.stream().filter(server -> !request.hasTried(server)).toList();
    List<Server> candidates = untried.isEmpty() && !request.mayHaveRun() ? eligible : untried;
    boolean isDecided =
        prompt.isPresent()
            ? placePrompt(request, prompt.get(), candidates, nowMicros)
            : placeCall(request, candidates, nowMicros);
    if (isDecided) {
      return;
    }
    Optional<Long> reopensAt =
        candidates.isEmpty()
            ? servers.reopensAtMicros(request.service(), nowMicros)
            : Optional.empty();
    if (reopensAt.filter(at -> at > request.waitUntilMicros()).isPresent()) {
      String detail = "Every server has asked for a pause.";
      end(request, RefusalReason.NO_UPSTREAM, detail, reopensAt.get(), nowMicros);
    } else if (nowMicros >= request.waitUntilMicros()) {
      giveUpWaiting(request, eligible.isEmpty(), nowMicros);
    } else if (!candidates.isEmpty()) {
      long patience = (request.deadlineMicros() - request.arrivedMicros()) / PLACE_WAIT_PART;
      request.waitUntil(Math.max(request.waitUntilMicros(), request.arrivedMicros() + patience));
    }
  }

  /** Sends or refuses a prompt; returns false where no server has a place for it. */
  private boolean placePrompt(
      OpenForward request, PromptOutline prompt, List<Server> candidates, long nowMicros) {
    ScopedPrefixes prefixes = new ScopedPrefixes(prompt, scopeOf(request));
    EngineProfile profile = profileOf(request.service());
    Optional<Place> chosen =
        prompts.choose(
            candidates,
            prefixes,
            profile,
            request.route().gapTargetMicros(),
            server ->
                weights.olderMicros(
                    server, prompt.model(), request.route().targetMicros(), nowMicros),
            nowMicros);
    Optional<Long> stayAwayMicros =
        chosen.filter(place -> request.attempt() == 0).flatMap(place -> stayAway(request, place));
    if (stayAwayMicros.isPresent()) {
      long comeBackMicros = nowMicros + stayAwayMicros.get();
      end(
          request,
          RefusalReason.QUEUE_FULL,
          "The best server would begin to read it in "
              + TimeUnit.MICROSECONDS.toMillis((long) chosen.get().waitMicros())
              + " ms.",
          comeBackMicros,
          nowMicros);
      return true;
    }
    chosen.ifPresent(
        place -> {
          Server server = place.server();
          request.onPlaced(place, prefixes.at(server));
          noteOpenings(request, server, profile, nowMicros);
          server.onPromptSent(prompts.speed().readMicros(place.unreadTokens()));
          send(request, server, Optional.of(prefixes.scopeAt(server)), nowMicros);
        });
    return chosen.isPresent();
  }

  private Optional<Long> stayAway(OpenForward request, Place place) {
    if (place.stallsStreams()) {
      return Optional.of(request.route().gapTargetMicros());
    }
    return PromptAdmission.stayAwayMicros(
        place.waitMicros(),
        prompts.speed().readMicros(place.unreadTokens()),
        request.route().targetMicros());
  }

  /** Notes what a server will have, and tells what other prompts may share. */
  private void noteOpenings(
      OpenForward request, Server server, EngineProfile profile, long nowMicros) {
    List<PromptPrefix> prefixes = request.openings();
    List<PromptPrefix> shared = prefixes.subList(0, Math.max(1, prefixes.size() - 1));
    List<PromptPrefix> own = prefixes.subList(shared.size(), prefixes.size());
    long memoryTokens = profile.memoryTokens();
    List<Long> toTell = prompts.book().onSent(shared, server.name(), memoryTokens, nowMicros);
    prompts.book().onSent(own, server.name(), memoryTokens, nowMicros);
    announcements.add(server.name(), toTell);
    Optional<CacheStore> store = profile.store();
    if (request.place().flatMap(Place::saveTo).isPresent() && store.isPresent()) {
      long saved = (long) routers * promptOf(request).orElseThrow().promptTokens();
      announcements.add(
          store.get().address(), prompts.onSaved(shared, store.get(), saved, nowMicros));
    }
  }

  private boolean placeCall(OpenForward request, List<Server> candidates, long nowMicros) {
    Optional<Server> chosen = calls.choose(candidates);
    chosen.ifPresent(server -> send(request, server, Optional.empty(), nowMicros));
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

  private void giveUpWaiting(OpenForward request, boolean hasNoServer, long nowMicros) {
    RefusalReason reason = hasNoServer ? RefusalReason.NO_UPSTREAM : RefusalReason.QUEUE_FULL;
    end(request, reason, "No server had a place in time.", nowMicros);
  }

  private void send(OpenForward request, Server server, Optional<String> salt, long nowMicros) {
    Optional<PromptOutline> prompt = promptOf(request);
    Optional<Long> version = prompt.flatMap(one -> server.version(one.model()));
    request.onSent(server, version, nowMicros);
    Dispatch dispatch =
        new Dispatch(
            server.name(),
            server.entry().address(),
            request.deadlineMicros(),
            request.team().map(CallerTeam::name),
            version,
            salt,
            prompt.map(one -> request.rank()),
            request.place().flatMap(Place::fetchFrom),
            request.place().flatMap(Place::saveTo),
            request.lastEvent());
    commands.accept(new ForwardCommand.Send(request.number(), request.attempt(), dispatch));
    journal.sent(request, server, version, nowMicros);
    if (request.attempt() == 1) {
      took(LatencyStep.PLACEMENT, request, nowMicros);
    }
  }

  private void took(LatencyStep step, OpenForward request, long nowMicros) {
    options.counters().took(step, nowMicros - request.arrivedMicros());
  }

  private static Optional<PromptOutline> promptOf(OpenForward request) {
    return request.route().hasPrompt() ? request.head().prompt() : Optional.empty();
  }

  /** Returns the scope in which cached parts may be shared, but for the version of the weights. */
  private static String scopeOf(OpenForward request) {
    String model = request.head().prompt().map(PromptOutline::model).orElse("");
    return request
        .team()
        .filter(CallerTeam::isIsolated)
        .map(team -> model + "/" + team.name())
        .orElse(model);
  }

  private void onUnsent(OpenForward request, String detail, long nowMicros) {
    Server server = request.server().orElseThrow();
    server.onFailure(nowMicros);
    for (CrashRegister.Suspect suspect : crashes.onDown(server.name(), nowMicros)) {
      tellCrash(suspect);
    }
    notRead(request, server);
    request.onAttemptOver(false);
    journal.failed(request, server, "unsent: " + detail);
    retryOrEnd(request, RefusalReason.NO_UPSTREAM, detail, nowMicros);
  }

  private void tellCrash(CrashRegister.Suspect suspect) {
    commands.accept(new ForwardCommand.AnnounceCrash(suspect.contentHash(), suspect.request()));
    journal.crashed(suspect);
  }

  private void onAnswered(OpenForward request, AnswerHead answer, long nowMicros) {
    Server server = request.server().orElseThrow();
    noteVersion(request, server, answer);
    noteAvailability(request, server, answer, nowMicros);
    if (answer.isNotRun()) {
      onRejected(request, server, answer, nowMicros);
      return;
    }
    long tookMicros = nowMicros - request.sentMicros();
    server.onAnswer(tookMicros, answer.isServerError(), nowMicros);
    request.place().ifPresent(place -> onPromptRead(request, place, tookMicros, nowMicros));
    boolean isWorthARetry = answer.isServerError() && request.route().isRepeatable();
    if (isWorthARetry && !request.hasBegunAnswer() && canRunOnceMore(request, nowMicros)) {
      dropAttempt(request, true);
      journal.failed(request, server, "status " + answer.status());
      retry(request, Decision.RETRY, nowMicros);
      return;
    }
    if (request.hasBegunAnswer() && answer.status() >= 300) {
      dropAttempt(request, true);
      breakOff(request, "the stream could not be resumed: status " + answer.status(), nowMicros);
      return;
    }
    request.onRelaying();
    commands.accept(
        new ForwardCommand.Relay(request.number(), request.attempt(), stallMicros(request)));
    journal.relayed(request, server, answer, nowMicros);
    took(LatencyStep.FIRST_OUTPUT, request, nowMicros);
  }

  /** Only a stream that may go on elsewhere gains from giving up a silent server. */
  private static Optional<Long> stallMicros(OpenForward request) {
    boolean mayMove = request.route().isResumable() && request.route().maximumAttempts() > 1;
    return mayMove ? Optional.of(STALL_GAPS * request.route().gapTargetMicros()) : Optional.empty();
  }

  private void onPromptRead(OpenForward request, Place place, long tookMicros, long nowMicros) {
    int tokens = prompts.speed().tokensReadIn(tookMicros, place.unreadTokens());
    long newTokens = (long) routers * tokens;
    prompts.book().onRead(request.openings(), place.server().name(), newTokens, nowMicros);
    place.server().onPromptRead(prompts.speed().readMicros(place.unreadTokens()));
    prompts.speed().onFirstOutput(place.unreadTokens(), tookMicros);
  }

  private void notRead(OpenForward request, Server server) {
    prompts.book().onNotRead(request.openings(), server.name());
    request
        .place()
        .ifPresent(place -> server.onPromptRead(prompts.speed().readMicros(place.unreadTokens())));
  }

  private static void noteVersion(OpenForward request, Server server, AnswerHead answer) {
    promptOf(request)
        .ifPresent(
            prompt ->
                answer
                    .weightVersion()
                    .ifPresent(version -> server.onVersion(prompt.model(), version)));
  }

  /** Takes in what a server says of itself beside its answer: that it leaves, or is full. */
  private void noteAvailability(
      OpenForward request, Server server, AnswerHead answer, long nowMicros) {
    if (answer.isLeaving() && server.onLeaving()) {
      journal.leaving(server, request);
      commands.accept(new ForwardCommand.AnnounceLeaving(server.name(), server.incarnation()));
    }
    answer
        .closedMicros()
        .ifPresent(
            micros -> {
              server.closeUntil(nowMicros + micros);
              journal.closed(server, micros, request);
            });
  }

  private void onRejected(OpenForward request, Server server, AnswerHead answer, long nowMicros) {
    boolean isOther = answer.instance().filter(id -> !id.equals(server.name())).isPresent();
    if (isOther) {
      server.onRemoved(nowMicros);
    } else if (answer.isMisdirected() && request.expectedVersion().isPresent()) {
      String model = promptOf(request).orElseThrow().model();
      server.onWrongVersion(model, request.expectedVersion().get(), weights.desiredVersion(model));
    } else {
      server.pause(nowMicros + REJECTED_PAUSE_MICROS);
    }
    notRead(request, server);
    dropAttempt(request, false);
    journal.failed(request, server, "not run: status " + answer.status());
    if (retries.tryRetry(request.service(), nowMicros)) {
      retryOrEnd(request, RefusalReason.QUEUE_FULL, "Servers had no room.", nowMicros);
    } else {
      end(request, RefusalReason.RETRY_BUDGET_EMPTY, "A server had no room.", nowMicros);
    }
  }

  private void onCompleted(OpenForward request, long nowMicros) {
    request.onAttemptOver(true);
    open.remove(request.number());
    crashes.onAnswered(request.head().contentHash());
    journal.completed(request, nowMicros);
    took(LatencyStep.WHOLE_ANSWER, request, nowMicros);
    sendWaiting(nowMicros);
  }

  private void onBroken(OpenForward request, ForwardEvent.Broken broken, long nowMicros) {
    Server server = request.server().orElseThrow();
    server.onFailure(nowMicros);
    if (broken.isReset()) {
      crashes.onBroken(server.name(), request.head().contentHash(), request.head().id(), nowMicros);
    }
    request.onLastEvent(broken.lastEvent());
    request.onAttemptOver(true);
    journal.failed(request, server, broken.detail());
    boolean mayResume = !request.hasBegunAnswer() || request.route().isResumable();
    if (request.route().isRepeatable() && mayResume && canRunOnceMore(request, nowMicros)) {
      retry(request, request.hasBegunAnswer() ? Decision.RESUME : Decision.RETRY, nowMicros);
    } else if (request.hasBegunAnswer()) {
      breakOff(request, broken.detail(), nowMicros);
    } else {
      end(request, RefusalReason.CONNECTION_LOST, broken.detail(), nowMicros);
    }
  }

  /** Lets go of the open attempt, so that its server stops to work on it. */
  private void dropAttempt(OpenForward request, boolean mayHaveRun) {
    commands.accept(new ForwardCommand.Drop(request.number(), request.attempt()));
    request.onAttemptOver(mayHaveRun);
  }

  private boolean canRunOnceMore(OpenForward request, long nowMicros) {
    return request.hasRunsLeft()
        && nowMicros < request.deadlineMicros()
        && !crashes.isBarred(request.head().contentHash(), nowMicros)
        && retries.tryRetry(request.service(), nowMicros);
  }

  private void retryOrEnd(
      OpenForward request, RefusalReason reason, String detail, long nowMicros) {
    if (request.rejections() <= MOST_REJECTIONS && request.mayRunAgain()) {
      retry(request, Decision.RETRY, nowMicros);
    } else {
      end(request, reason, detail, nowMicros);
    }
  }

  private void retry(OpenForward request, Decision decision, long nowMicros) {
    journal.triedAgain(decision, request);
    long patience = request.route().targetMicros() / NO_SERVER_WAIT_PART;
    request.waitUntil(Math.min(request.deadlineMicros(), nowMicros + patience));
    sendOrWait(request, nowMicros);
  }

  private void onCallerGone(OpenForward request, long nowMicros) {
    journal.callerGone(request, nowMicros);
    if (request.phase() != Phase.WAITING) {
      dropAttempt(request, true);
    }
    open.remove(request.number());
    sendWaiting(nowMicros);
  }

  private void onTick(long nowMicros) {
    for (OpenForward request : List.copyOf(open.values())) {
      if (nowMicros >= request.deadlineMicros()) {
        onDeadline(request, nowMicros);
      }
    }
    sendWaiting(nowMicros);
    announcements.onTick(routers, nowMicros);
    surveyPrompts(nowMicros);
    watchSilence(nowMicros);
    giveUpStuck(nowMicros);
    servers.forget(nowMicros);
    crashes.forget(nowMicros);
  }

  /** Learns from the open prompts what the servers of each service have to do. */
  private void surveyPrompts(long nowMicros) {
    Map<String, Integer> openShort = new HashMap<>();
    for (OpenForward request : open.values()) {
      promptOf(request).ifPresent(prompt -> surveyPrompt(request, prompt, openShort));
    }
    openShort.forEach(
        (service, count) ->
            prompts.lanes(service).divide(servers.usable(service, nowMicros), count * routers));
  }

  private void surveyPrompt(
      OpenForward request, PromptOutline prompt, Map<String, Integer> openShort) {
    String service = request.service();
    double micros = prompts.speed().readMicros(prompt.promptTokens());
    boolean isLong = prompts.lanes(service).isLong(micros, request.route().gapTargetMicros());
    openShort.merge(service, isLong ? 0 : 1, Integer::sum);
    if (request.phase() == Phase.SENT) {
      int unread = request.place().map(Place::unreadTokens).orElse(0);
      prompts.unread().onWaiting(service, prompts.speed().readMicros(unread));
    }
  }

  private void onDeadline(OpenForward request, long nowMicros) {
    boolean wasSent = request.phase() != Phase.WAITING;
    if (wasSent) {
      dropAttempt(request, true);
    }
    if (request.hasBegunAnswer()) {
      breakOff(request, "the deadline has passed", nowMicros);
    } else {
      end(request, RefusalReason.DEADLINE_PASSED, "No server answered in time.", nowMicros);
    }
  }

  private void watchSilence(long nowMicros) {
    for (Server server : servers.all()) {
      if (server.isSilent(SILENCE_MICROS, nowMicros)) {
        server.pause(nowMicros + TICK_INTERVAL_MICROS * 2);
      }
    }
  }

  /**
   * Sends requests elsewhere whose server has not answered anything since it got them, well beyond
   * the time expected: it is cut off or stopped without a sign.
   */
  private void giveUpStuck(long nowMicros) {
    for (OpenForward request : List.copyOf(open.values())) {
      if (request.phase() != Phase.SENT || !request.route().isRepeatable()) {
        continue;
      }
      Server server = request.server().orElseThrow();
      double expected = request.place().map(Place::expectedMicros).orElseGet(server::answerMicros);
      double least = Math.min(LONGEST_LEAST_MICROS, (double) request.route().targetMicros());
      double patience = Math.max(least, STUCK_FACTOR * expected);
      boolean isStuck =
          nowMicros - request.sentMicros() > patience
              && !server.hasAnsweredSince(request.sentMicros());
      if (isStuck && canRunOnceMore(request, nowMicros)) {
        server.onFailure(nowMicros);
        dropAttempt(request, true);
        journal.failed(request, server, "no answer");
        retry(request, Decision.RETRY, nowMicros);
      }
    }
  }

  private void sendWaiting(long nowMicros) {
    List<OpenForward> waiting = new ArrayList<>();
    for (OpenForward request : open.values()) {
      if (request.phase() == Phase.WAITING) {
        waiting.add(request);
      }
    }
    waiting.sort(
        Comparator.comparingInt(OpenForward::rank).thenComparingLong(OpenForward::arrivedMicros));
    for (OpenForward request : waiting) {
      sendOrWait(request, nowMicros);
    }
  }

  /** Gives a request its final answer; the outcome named is true over all attempts. */
  private void end(OpenForward request, RefusalReason reason, String detail, long nowMicros) {
    long comeBackMicros = nowMicros + NO_SERVER_RETURN_MICROS;
    end(request, reason, detail, comeBackMicros, nowMicros);
  }

  private void end(
      OpenForward request,
      RefusalReason reason,
      String detail,
      long comeBackMicros,
      long nowMicros) {
    open.remove(request.number());
    if (request.hasBegunAnswer()) {
      breakOff(request, detail, nowMicros);
      return;
    }
    RefusalReason told = truthful(reason, request.mayHaveRun());
    Outcome outcome = request.mayHaveRun() ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    Optional<Long> comeBack = request.mayHaveRun() ? Optional.empty() : Optional.of(comeBackMicros);
    refuse(request.number(), request.head(), new Refusal(told, detail, outcome, comeBack));
  }

  private static RefusalReason truthful(RefusalReason reason, boolean mayHaveRun) {
    if (mayHaveRun) {
      return reason == RefusalReason.DEADLINE_PASSED ? reason : RefusalReason.CONNECTION_LOST;
    }
    return reason == RefusalReason.DEADLINE_PASSED ? RefusalReason.DEADLINE_UNREACHABLE : reason;
  }

  private void breakOff(OpenForward request, String detail, long nowMicros) {
    open.remove(request.number());
    commands.accept(new ForwardCommand.BreakOff(request.number(), detail));
    journal.brokenOff(request, detail, nowMicros);
  }

  private void refuseUnopened(ForwardEvent.Requested event, Refusal refusal) {
    refuse(event.request(), event.head(), refusal);
  }

  private void refuse(long number, RequestHead head, Refusal refusal) {
    options.counters().refused(refusal.reason());
    commands.accept(new ForwardCommand.Refuse(number, refusal));
    journal.refused(head, refusal, table);
  }

  private Optional<OpenForward> find(long number) {
    return Optional.ofNullable(open.get(number));
  }

  private Optional<OpenForward> find(long number, int attempt) {
    return find(number)
        .filter(request -> request.phase() != Phase.WAITING && request.attempt() == attempt);
  }
}
