package org.shallothook.coordination.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.shallothook.coordination.allowance.AllowanceBound;
import org.shallothook.coordination.origin.SoftwareVersion;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.state.log.WrittenTime;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.route.CallKind;
import org.shallothook.state.route.CallerLimits;
import org.shallothook.state.route.CallerTeam;
import org.shallothook.state.route.PromptOutline;
import org.shallothook.state.route.PromptOutline.Part;
import org.shallothook.state.route.Route;
import org.shallothook.state.route.RouteTable;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.ServiceTraits;
import org.shallothook.state.route.ServiceTraits.CacheStore;
import org.shallothook.state.route.ServiceTraits.EngineTraits;
import org.shallothook.state.route.TeamAllowance;
import org.shallothook.state.route.WeightVersion;

/**
 * Drives a forwarding core with a configuration of four routes on a virtual clock.
 *
 * <p>Not thread-safe.
 */
final class ForwardHarness {
  static final String KEY = "key-1";
  static final String ISOLATED_KEY = "key-2";
  static final String MODEL = "linen";

  /** Scope that all teams but the isolated one share, at servers with version 1 of the weights. */
  static final String SHARED_SCOPE = "linen~99a0fd83fbfb3f14606ce537d657f405/1";

  /** Version of the software of all servers, if a test does not set another. */
  static final String SOFTWARE = "v1";

  static final long MILLI = 1_000;
  static final long SECOND = 1_000_000;

  final List<ForwardCommand> commands = new ArrayList<>();
  final ForwardCore core;

  /** Values of the core's counters. */
  final Map<String, Integer> counted = new HashMap<>();

  private final Map<Long, Refusal> refusals = new HashMap<>();
  private final Map<Long, ForwardCommand.Send> latestSends = new HashMap<>();
  private final Set<Long> brokenOff = new HashSet<>();
  private long nowMicros = 100 * SECOND;
  private long nextRequestNumber = 1;

  ForwardHarness() {
    this(DecisionJournal.NONE);
  }

  ForwardHarness(DecisionJournal journal) {
    this(journal, false);
  }

  /**
   * Creates a router.
   *
   * @param isAdaptive whether it learns speeds and gives windows, both of which a deployment has to
   *     ask for
   */
  private ForwardHarness(DecisionJournal journal, boolean isAdaptive) {
    Counters counters = name -> counted.merge(name, 1, Integer::sum);
    core =
        new ForwardCore(
            options("router-1", 60 * SECOND, 1, isAdaptive, counters, journal),
            this::recordCommand);
  }

  static ForwardOptions options(long quarantineMicros, long seed, DecisionJournal journal) {
    return options("router-" + seed, quarantineMicros, seed, Counters.NONE, journal);
  }

  static ForwardOptions options(
      String router, long quarantineMicros, long seed, Counters counters, DecisionJournal journal) {
    return options(router, quarantineMicros, seed, false, counters, journal);
  }

  private static ForwardOptions options(
      String router,
      long quarantineMicros,
      long seed,
      boolean isAdaptive,
      Counters counters,
      DecisionJournal journal) {
    return new ForwardOptions(
        router,
        0,
        "domain-a",
        0.2,
        50,
        10 * SECOND,
        6 * SECOND,
        2_400 * MILLI,
        isAdaptive,
        quarantineMicros,
        isAdaptive,
        AllowanceBound.DEFAULT,
        seed,
        counters,
        journal);
  }

  /** Returns speeds that are 1 for all servers. */
  static ServerSpeeds unlearnedSpeeds() {
    return new ServerSpeeds(
        false, command -> {}, new ForwardJournal(DecisionJournal.NONE), Counters.NONE);
  }

  /** Returns a harness whose core has a configuration and servers of both services. */
  static ForwardHarness ready(int engines, int services) {
    return ready(engines, services, DecisionJournal.NONE);
  }

  static ForwardHarness ready(int engines, int services, DecisionJournal journal) {
    return ready(engines, services, new ForwardHarness(journal, false));
  }

  static ForwardHarness adaptive(int engines, int services) {
    return adaptive(engines, services, DecisionJournal.NONE);
  }

  /** Returns a router that learns speeds and gives windows. */
  static ForwardHarness adaptive(int engines, int services, DecisionJournal journal) {
    return ready(engines, services, new ForwardHarness(journal, true));
  }

  private static ForwardHarness ready(int engines, int services, ForwardHarness harness) {
    harness.publish(1);
    List<ServerEntry> entries = new ArrayList<>();
    for (int index = 1; index <= engines; index++) {
      entries.add(engine("engine-" + index, index, 1));
    }
    for (int index = 1; index <= services; index++) {
      entries.add(service("service-" + index, index));
    }
    harness.handle(new ForwardEvent.RegistryReachable(true));
    harness.handle(new ForwardEvent.ServersRead(entries, true));
    SoftwareVersion software = new SoftwareVersion("engines", SOFTWARE);
    harness.handle(new ForwardEvent.SoftwareDeclared(Map.of(software, Optional.of(1L))));
    harness.handle(new ForwardEvent.OriginsRead(harness.now()));
    return harness;
  }

  static ServerEntry engine(String id, int index, long version) {
    return new ServerEntry(
        id,
        "engines",
        "10.0.0." + index + ":80",
        "domain-a",
        8,
        false,
        Map.of(MODEL, version),
        1,
        Optional.of(SOFTWARE));
  }

  static ServerEntry service(String id, int index) {
    return new ServerEntry(
        id,
        "bookings",
        "10.0.1." + index + ":80",
        "domain-a",
        4,
        false,
        Map.of(),
        1,
        Optional.of(SOFTWARE));
  }

  /** Returns the entry of another incarnation of a server, which is not leaving. */
  static ServerEntry startedAt(ServerEntry entry, long startedAtMillis) {
    return copyOf(entry.withLeaving(false), startedAtMillis, entry.softwareVersion());
  }

  /** Returns the entry of a server with another version of its software; empty if unreadable. */
  static ServerEntry withSoftware(ServerEntry entry, Optional<String> softwareVersion) {
    return copyOf(entry, entry.startedAtMillis(), softwareVersion);
  }

  private static ServerEntry copyOf(
      ServerEntry entry, long startedAtMillis, Optional<String> softwareVersion) {
    return new ServerEntry(
        entry.id(),
        entry.service(),
        entry.address(),
        entry.failureDomain(),
        entry.slots(),
        entry.isLeaving(),
        entry.versions(),
        startedAtMillis,
        softwareVersion);
  }

  static ServerEntry leaving(ServerEntry entry) {
    return entry.withLeaving(true);
  }

  void publish(long version) {
    handle(new ForwardEvent.RoutesRead(routeTable(version)));
  }

  /** Applies a configuration in which the team of the key has an allowance. */
  void publish(long version, TeamAllowance allowance) {
    CallerTeam team =
        new CallerTeam("parish", List.of(KEY), Optional.of(1), false, Optional.of(allowance));
    handle(new ForwardEvent.RoutesRead(routeTable(version, Optional.empty(), List.of(team))));
  }

  static RouteTable routeTable(long version) {
    return routeTable(
        version,
        Optional.empty(),
        List.of(
            new CallerTeam("parish", List.of(KEY), Optional.of(1), false, Optional.empty()),
            new CallerTeam(
                "guild", List.of(ISOLATED_KEY), Optional.of(0), true, Optional.empty())));
  }

  static RouteTable routeTable(
      long version, Optional<CacheStore> engineStore, List<CallerTeam> teams) {
    List<Route> routes =
        List.of(
            route("ask", "/ask/", CallKind.STREAMING, "engines", 2, true),
            route("draft", "/draft/", CallKind.STREAMING, "engines", 1, false),
            route("book", "/book/", CallKind.UNSAFE, "bookings", 1, false),
            route("read", "/read/", CallKind.SAFE, "bookings", 2, false));
    List<ServiceTraits> services =
        List.of(
            new ServiceTraits(
                "engines",
                360,
                Optional.of(new EngineTraits(8, 100_000, 3.5, List.of(MODEL))),
                engineStore),
            new ServiceTraits("bookings", 96, Optional.empty(), Optional.empty()));
    return new RouteTable(version, routes, services, Optional.of(teams), CallerLimits.DEFAULT);
  }

  private static Route route(
      String name, String prefix, CallKind kind, String service, int attempts, boolean resumable) {
    boolean isStream = kind == CallKind.STREAMING;
    return new Route(
        name,
        "linen.example",
        prefix,
        kind,
        isStream ? 5 * SECOND : 800 * MILLI,
        isStream ? 800 * MILLI : 300 * MILLI,
        500 * MILLI,
        1,
        List.of(new Route.Destination(service, 1)),
        attempts,
        false,
        isStream,
        resumable);
  }

  long now() {
    return nowMicros;
  }

  /** Returns whether the router knows a configuration and all servers. */
  boolean isReady() {
    return core.isReady();
  }

  void advance(long micros) {
    long until = nowMicros + micros;
    while (nowMicros < until) {
      nowMicros = Math.min(until, nowMicros + ForwardCore.TICK_INTERVAL_MICROS);
      handle(new ForwardEvent.Tick());
    }
  }

  /** Lets the process stand still: time passes, and no event is handled. */
  void standStill(long micros) {
    nowMicros += micros;
  }

  void handle(ForwardEvent event) {
    core.handle(event, nowMicros);
  }

  /** Lists a server again with the entry that it has after its n-th restart. */
  void restart(String server, int restart) {
    ServerEntry known = server.startsWith("engine") ? engine(server, 1, 1) : service(server, 1);
    ServerEntry entry = startedAt(known, known.startedAtMillis() + 1 + restart);
    handle(new ForwardEvent.ServersRead(List.of(entry), false));
  }

  void setDesiredVersion(long version, WrittenTime written) {
    handle(new ForwardEvent.DesiredVersionChanged(new WeightVersion(MODEL, version), written));
  }

  void setDesiredVersion(long version) {
    setDesiredVersion(version, WrittenTime.at(nowMicros));
  }

  long request(String target, Optional<String> key, Optional<PromptOutline> prompt) {
    return request(target, key, prompt, Optional.empty());
  }

  /** Sends a request that resumes a stream behind an event, if one is given. */
  long request(
      String target,
      Optional<String> key,
      Optional<PromptOutline> prompt,
      Optional<Long> resumesAfter) {
    int contentHash = target.hashCode() + prompt.map(one -> one.parts().hashCode()).orElse(0);
    return request(target, key, prompt, resumesAfter, TokenStatement.NONE, contentHash);
  }

  /** Sends a call with what it states about its tokens, or the event that it resumes after. */
  long submit(String target, TokenStatement tokens, Optional<Long> resumesAfter) {
    Optional<PromptOutline> prompt = Optional.of(prompt("north", 200, 600));
    return request(target, Optional.of(KEY), prompt, resumesAfter, tokens, nextRequestNumber);
  }

  private long request(
      String target,
      Optional<String> key,
      Optional<PromptOutline> prompt,
      Optional<Long> resumesAfter,
      TokenStatement tokens,
      long contentHash) {
    long number = nextRequestNumber++;
    RequestHead head =
        new RequestHead(
            "request-" + number,
            "linen.example",
            target,
            key,
            Optional.empty(),
            prompt,
            resumesAfter,
            Optional.empty(),
            tokens,
            contentHash);
    handle(new ForwardEvent.Requested(number, head));
    return number;
  }

  long submitCall(String target) {
    return request(target, Optional.of(KEY), Optional.empty());
  }

  long submitLongPrompt(String register) {
    return request("/ask/1", Optional.of(KEY), Optional.of(prompt(register, 6_000, 2_000)));
  }

  long submitShortPrompt(String letter) {
    return request("/draft/1", Optional.of(KEY), Optional.of(prompt(letter, 200, 600)));
  }

  static PromptOutline prompt(String register, int shared, int own) {
    return promptOf(register, "own-" + register, shared, own);
  }

  static PromptOutline promptOf(String register, String ownPart, int shared, int own) {
    return new PromptOutline(
        MODEL,
        shared + own,
        50,
        List.of(
            new Part("rules", shared / 2), new Part(register, shared / 2), new Part(ownPart, own)));
  }

  /** Returns the latest send command of a request. */
  Optional<ForwardCommand.Send> sent(long request) {
    return Optional.ofNullable(latestSends.get(request));
  }

  /** Returns the server of the latest send command of a request. */
  String serverOf(long request) {
    return sent(request).orElseThrow().dispatch().server();
  }

  long sends(long request) {
    return commands.stream()
        .filter(command -> command instanceof ForwardCommand.Send send && send.request() == request)
        .count();
  }

  Optional<Refusal> refusal(long request) {
    return Optional.ofNullable(refusals.get(request));
  }

  boolean isBrokenOff(long request) {
    return brokenOff.contains(request);
  }

  void respond(long request, int status) {
    respond(
        request,
        new ResponseHead(
            status, false, Optional.empty(), Optional.empty(), false, Optional.empty()));
  }

  void reject(long request, int status) {
    respond(
        request,
        new ResponseHead(
            status, true, Optional.empty(), Optional.empty(), false, Optional.empty()));
  }

  /** Returns the head of a success whose server takes a number of requests per second. */
  static ResponseHead limited(double requestsPerSecond) {
    return stating(LimitStatement.of(requestsPerSecond));
  }

  /** Returns the head of a success with a statement about the requests that its server takes. */
  static ResponseHead stating(LimitStatement limit) {
    return new ResponseHead(
        200, false, Optional.empty(), Optional.empty(), false, Optional.empty(), limit);
  }

  void respond(long request, ResponseHead head) {
    int attempt = sent(request).orElseThrow().attempt();
    handle(new ForwardEvent.ResponseReceived(request, attempt, head));
    if (head.isSuccess() && !isRelayed(request, attempt)) {
      // The response waits until its stream is recorded, which begins with the next tick.
      handle(new ForwardEvent.Tick());
      handle(new ForwardEvent.RecordingEnded(true));
    }
  }

  private boolean isRelayed(long request, int attempt) {
    return commands.stream()
        .anyMatch(
            command ->
                command instanceof ForwardCommand.Relay relay
                    && relay.request() == request
                    && relay.attempt() == attempt);
  }

  void complete(long request) {
    handle(new ForwardEvent.Completed(request, sent(request).orElseThrow().attempt()));
  }

  void failToSend(long request) {
    handle(new ForwardEvent.Unsent(request, sent(request).orElseThrow().attempt(), "refused"));
  }

  void breakConnection(long request, Optional<Long> lastEvent) {
    handle(
        new ForwardEvent.Broken(
            request, sent(request).orElseThrow().attempt(), true, "reset", lastEvent, nowMicros));
  }

  private void recordCommand(ForwardCommand command) {
    commands.add(command);
    if (command instanceof ForwardCommand.Send send) {
      latestSends.put(send.request(), send);
    } else if (command instanceof ForwardCommand.BreakOff broken) {
      brokenOff.add(broken.request());
    }
    if (command instanceof ForwardCommand.Refuse refuse) {
      if (refusals.put(refuse.request(), refuse.refusal()) != null) {
        throw new AssertionError("Request " + refuse.request() + " was refused twice.");
      }
    }
  }
}
