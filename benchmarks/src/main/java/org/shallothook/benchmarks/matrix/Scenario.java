package org.shallothook.benchmarks.matrix;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.shallothook.benchmarks.virtual.CallerRecord;
import org.shallothook.benchmarks.virtual.ChatRecord;
import org.shallothook.benchmarks.virtual.FleetInvariants;
import org.shallothook.benchmarks.virtual.TeamSpec;
import org.shallothook.benchmarks.virtual.VirtualFleet;
import org.shallothook.benchmarks.virtual.VirtualProcess;
import org.shallothook.benchmarks.virtual.VirtualRouter;
import org.shallothook.benchmarks.virtual.VirtualSidecar;
import org.shallothook.coordination.configuration.ChangeRequest;
import org.shallothook.coordination.configuration.PublicationResult;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarOptions;
import org.shallothook.standins.engine.EngineRequest;

/**
 * One run of a small fleet in virtual time that goes through every step, injects the given faults
 * and checks all guarantees.
 *
 * <pre>{@code
 * ScenarioResult result = new Scenario(List.of(new FaultInjection(fault, step, 1)), seed).run();
 * }</pre>
 *
 * <p>Invariant: the same injections and seed give the same result. Not thread-safe; used once.
 */
final class Scenario {
  private static final long SECOND_MICROS = 1_000_000;
  private static final long WARM_UP_MICROS = 3 * SECOND_MICROS;
  private static final long PUBLISH_MICROS = WARM_UP_MICROS + 800_000;
  private static final long DRAIN_SIDECAR_MICROS = WARM_UP_MICROS + 2_500_000;
  private static final long DRAIN_ROUTER_MICROS = WARM_UP_MICROS + 2_800_000;
  private static final long RECOVERED_MICROS = 30 * SECOND_MICROS;
  private static final long RESTART_MICROS = 40 * SECOND_MICROS;
  private static final long DOWN_MICROS = 300_000;
  private static final long RESTARTED_MICROS = RESTART_MICROS + SECOND_MICROS;
  private static final long CONVERGED_MICROS = 50 * SECOND_MICROS;
  private static final long END_MICROS = 52 * SECOND_MICROS;
  private static final int CHATS = 30;
  private static final long CHAT_INTERVAL_MICROS = 90_000;
  private static final int BOOKINGS = 10;
  private static final long BOOKING_INTERVAL_MICROS = 250_000;
  private static final long REPEAT_MICROS = 350_000;
  private static final int LATE_CHATS = 6;
  private static final String DRAINED_SIDECAR = "engine-3";
  private static final String DRAINED_ROUTER = "router-2";

  private final VirtualFleet fleet;
  private final ScenarioGuarantees guarantees;
  private final FaultInjector injector;
  private final List<String> violations = new ArrayList<>();
  private final RecoveryGuarantees recovery;
  private final Optional<OverloadTraffic> overload;
  private Optional<PublicationResult> publication = Optional.empty();
  private boolean hasPublished;
  private boolean isInjectionEnabled;
  private boolean hasLostDomain;
  private int repeats;
  private long repeatDelayMicros;
  private int changes;

  /** Creates a lightly loaded scenario. */
  Scenario(List<FaultInjection> injections, long seed) {
    this(injections, seed, false);
  }

  private Scenario(List<FaultInjection> injections, long seed, boolean isOverloaded) {
    boolean checksFencing =
        injections.stream().allMatch(injection -> injection.fault().upstreamsCheckFencing());
    fleet =
        VirtualFleet.builder()
            .seed(seed)
            .engines(6)
            .services(ScenarioTeams.SERVICE, 3, checksFencing)
            .team(ScenarioTeams.ORDINARY)
            .team(ScenarioTeams.URGENT)
            .sidecarOptions(options -> limitQueue(options, isOverloaded))
            .build();
    overload =
        isOverloaded
            ? Optional.of(new OverloadTraffic(fleet, ScenarioTeams.ORDINARY, ScenarioTeams.URGENT))
            : Optional.empty();
    recovery =
        new RecoveryGuarantees(
            fleet,
            List.of(ScenarioTeams.ORDINARY, ScenarioTeams.URGENT),
            hasSlowEngine(injections));
    guarantees = new ScenarioGuarantees(fleet);
    injector = new FaultInjector(this, injections, guarantees);
    fleet.observe(injector);
  }

  /** Creates a scenario in which ordinary chats fill every queue while faults are injected. */
  static Scenario overloaded(List<FaultInjection> injections, long seed) {
    return new Scenario(injections, seed, true);
  }

  private static void limitQueue(SidecarOptions.Builder options, boolean isOverloaded) {
    if (isOverloaded) {
      options.maximumQueueLength(OverloadTraffic.QUEUE_LENGTH);
    }
  }

  /** Runs the scenario and checks every guarantee. */
  ScenarioResult run() {
    long start = fleet.nowMicros();
    schedule(start);
    fleet.runUntil(start + END_MICROS);
    checkCallers();
    violations.addAll(FleetInvariants.violations(fleet, Set.of(TeamSpec.REPEATABLE_PATH)));
    violations.addAll(guarantees.violations());
    violations.addAll(recovery.violations(ScenarioLog.state(fleet)));
    overload.ifPresent(one -> violations.addAll(one.violations()));
    checkPublication();
    return new ScenarioResult(List.copyOf(violations), injector.pending());
  }

  VirtualFleet fleet() {
    return fleet;
  }

  boolean isInjectionEnabled() {
    return isInjectionEnabled;
  }

  long inMicros(long micros) {
    return fleet.nowMicros() + micros;
  }

  VirtualProcess processOf(Occurrence at) {
    return at.isRouter() ? fleet.router(at.process()) : fleet.sidecar(at.process());
  }

  VirtualRouter routerOf(Occurrence at) {
    return fleet.router(at.isRouter() ? at.process() : "router-1");
  }

  VirtualSidecar sidecarOf(Occurrence at) {
    return fleet.sidecar(at.isRouter() ? "engine-1" : at.process());
  }

  String engineOf(Occurrence at) {
    return fleet.engines().containsKey(at.process()) ? at.process() : "engine-1";
  }

  void crashEngine(String engine) {
    fleet.crashUpstream(engine);
  }

  void loseDomain() {
    if (!hasLostDomain) {
      hasLostDomain = true;
      fleet.loseDomain(fleet.sidecar("engine-1").failureDomain());
    }
  }

  void sendPoison() {
    fleet.chat(ScenarioTeams.chatOf(ScenarioTeams.ORDINARY, EngineRequest.POISON_MARKER));
  }

  void publishConflict() {
    anyRouter()
        .ifPresent(
            router ->
                publish(
                    router,
                    ScenarioTeams.ORDINARY.withModelVersion(ScenarioTeams.version("v3")),
                    result -> {}));
  }

  void disconnectOldestCaller() {
    fleet.callers().chats().stream()
        .filter(chat -> chat.state() == CallerRecord.State.OPEN)
        .findFirst()
        .ifPresent(chat -> fleet.callers().leave(fleet.router(chat.router()), chat));
  }

  void repeatEventsLate(int count, long delayMicros) {
    repeats = count;
    repeatDelayMicros = delayMicros;
  }

  void repeatRouterEvent(String router, RouterEvent event) {
    boolean isRepeatable =
        event instanceof RouterEvent.PeerMessageReceived || event instanceof RouterEvent.LogRead;
    if (repeats > 0 && isRepeatable) {
      repeats--;
      fleet.repeat(fleet.router(router), event, repeatDelayMicros);
    }
  }

  void repeatSidecarEvent(String sidecar, SidecarEvent event) {
    boolean isRepeatable =
        event instanceof SidecarEvent.PeerMessageReceived
            || event instanceof SidecarEvent.EngineTokens
            || event instanceof SidecarEvent.EngineEnded
            || event instanceof SidecarEvent.LogRead;
    if (repeats > 0 && isRepeatable) {
      repeats--;
      fleet.repeat(fleet.sidecar(sidecar), event, repeatDelayMicros);
    }
  }

  private void schedule(long start) {
    fleet.at(start + WARM_UP_MICROS, () -> isInjectionEnabled = true);
    overload.ifPresent(one -> one.schedule(start + WARM_UP_MICROS));
    for (int index = 0; index < CHATS; index++) {
      TeamSpec team = index % 5 == 0 ? ScenarioTeams.URGENT : ScenarioTeams.ORDINARY;
      String question = "question " + index + " answer-tokens:24";
      long at = start + WARM_UP_MICROS + 10_000 + index * CHAT_INTERVAL_MICROS;
      fleet.at(at, () -> fleet.chat(ScenarioTeams.chatOf(team, question)));
    }
    for (int index = 0; index < BOOKINGS; index++) {
      String key = "booking-key-" + index;
      long at = start + WARM_UP_MICROS + 20_000 + index * BOOKING_INTERVAL_MICROS;
      fleet.at(at, () -> fleet.call(ScenarioTeams.bookingOf(key)));
      fleet.at(at + REPEAT_MICROS, () -> fleet.call(ScenarioTeams.bookingOf(key)));
    }
    fleet.at(start + PUBLISH_MICROS, this::publishNewVersion);
    fleet.at(start + DRAIN_SIDECAR_MICROS, this::drainSidecar);
    fleet.at(start + DRAIN_ROUTER_MICROS, () -> fleet.drain(fleet.router(DRAINED_ROUTER)));
    scheduleLate("late", start + RECOVERED_MICROS, recovery::addRecovered);
    fleet.at(start + RESTART_MICROS, this::restartRouters);
    scheduleLate("restarted", start + RESTARTED_MICROS, recovery::addAfterRestart);
    fleet.at(start + CONVERGED_MICROS, this::requestOffsetsInForce);
    fleet.at(start + END_MICROS - 1, this::checkConverged);
  }

  private void scheduleLate(String name, long start, Consumer<ChatRecord> onSent) {
    for (int index = 0; index < LATE_CHATS; index++) {
      TeamSpec team = index % 2 == 0 ? ScenarioTeams.URGENT : ScenarioTeams.ORDINARY;
      String question = name + " question " + index + " answer-tokens:8";
      long at = start + index * CHAT_INTERVAL_MICROS;
      fleet.at(at, () -> onSent.accept(fleet.chat(ScenarioTeams.chatOf(team, question))));
    }
  }

  private void restartRouters() {
    isInjectionEnabled = false;
    fleet.routers().stream()
        .filter(VirtualProcess::isUp)
        .toList()
        .forEach(router -> fleet.restart(router, DOWN_MICROS));
  }

  private void publishNewVersion() {
    anyRouter()
        .ifPresent(
            router -> {
              hasPublished = true;
              publish(
                  router,
                  ScenarioTeams.ORDINARY.withModelVersion(ScenarioTeams.version("v2")),
                  result -> publication = Optional.of(result));
            });
  }

  private void publish(VirtualRouter router, TeamSpec team, Consumer<PublicationResult> onResult) {
    ChangeRequest change =
        new ChangeRequest(
            "scene-change-" + changes++,
            team.name(),
            Optional.of(team.template()),
            Optional.empty());
    router.core().publish(change, onResult, fleet.nowMicros());
  }

  private void drainSidecar() {
    guarantees.onLeaving(DRAINED_SIDECAR, fleet.nowMicros());
    fleet.drain(fleet.sidecar(DRAINED_SIDECAR));
  }

  private Optional<VirtualRouter> anyRouter() {
    return fleet.routers().stream().filter(VirtualProcess::isUp).findFirst();
  }

  private void requestOffsetsInForce() {
    anyRouter().ifPresent(router -> router.core().appliedConfigurationOffsets());
  }

  private void checkConverged() {
    long end = ScenarioLog.state(fleet).effectiveOffset();
    Optional<VirtualRouter> queried = anyRouter();
    if (queried.isEmpty()) {
      return;
    }
    Map<String, Long> inForce = queried.get().core().appliedConfigurationOffsets();
    Set<String> live = new TreeSet<>();
    fleet.routers().stream().filter(VirtualProcess::isUp).forEach(one -> live.add(one.name()));
    fleet.sidecars().stream().filter(VirtualProcess::isUp).forEach(one -> live.add(one.name()));
    for (String name : live) {
      long offset = inForce.getOrDefault(name, -1L);
      if (offset < end) {
        violations.add(name + ": has " + offset + " in force, not " + end);
      }
    }
  }

  private void checkCallers() {
    List<CallerRecord> records = new ArrayList<>(fleet.callers().chats());
    records.addAll(fleet.callers().calls());
    for (CallerRecord record : records) {
      if (record.state() == CallerRecord.State.OPEN) {
        violations.add(record.request() + ": never answered");
      }
    }
  }

  private void checkPublication() {
    Optional<VirtualRouter> router = anyRouter();
    if (!hasPublished || publication.isEmpty() || router.isEmpty()) {
      return;
    }
    boolean isAccepted = publication.get() instanceof PublicationResult.Accepted;
    String source = router.get().core().templateSource(ScenarioTeams.ORDINARY.name()).orElse("");
    if (isAccepted && source.equals(ScenarioTeams.ORDINARY.template())) {
      violations.add("an accepted publication is not in force");
    }
  }

  private static boolean hasSlowEngine(List<FaultInjection> injections) {
    return injections.stream().anyMatch(injection -> injection.fault() == Fault.SLOW_ENGINE);
  }
}
