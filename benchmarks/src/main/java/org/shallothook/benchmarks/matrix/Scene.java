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
import org.shallothook.benchmarks.virtual.RouterProcess;
import org.shallothook.benchmarks.virtual.SidecarProcess;
import org.shallothook.benchmarks.virtual.TeamSpec;
import org.shallothook.benchmarks.virtual.VirtualFleet;
import org.shallothook.benchmarks.virtual.VirtualProcess;
import org.shallothook.coordination.configuration.ChangeRequest;
import org.shallothook.coordination.configuration.PublicationResult;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarOptions;
import org.shallothook.standins.engine.EngineRequest;

/**
 * One run of a small fleet through every step, with faults on the way and all promises checked.
 *
 * <pre>{@code
 * SceneResult result = new Scene(List.of(new Strike(fault, step, 1)), seed).run();
 * }</pre>
 *
 * <p>Invariant: the same strikes and seed give the same result. Not thread-safe; used once.
 */
final class Scene {
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
  private final ScenePromises promises;
  private final StrikeWatch watch;
  private final List<String> violations = new ArrayList<>();
  private final SceneRecovery recovery;
  private final Optional<Crowd> crowd;
  private Optional<PublicationResult> publication = Optional.empty();
  private boolean hasPublished;
  private boolean isWatching;
  private boolean hasLostDomain;
  private int repeats;
  private long repeatDelayMicros;
  private int changes;

  /** Creates a lightly loaded scene. */
  Scene(List<Strike> strikes, long seed) {
    this(strikes, seed, false);
  }

  private Scene(List<Strike> strikes, long seed, boolean isCrowded) {
    boolean checksFencing =
        strikes.stream().allMatch(strike -> strike.fault().upstreamsCheckFencing());
    fleet =
        VirtualFleet.builder()
            .seed(seed)
            .engines(6)
            .services(SceneTeams.SERVICE, 3, checksFencing)
            .team(SceneTeams.ORDINARY)
            .team(SceneTeams.URGENT)
            .sidecarOptions(options -> limitQueue(options, isCrowded))
            .build();
    crowd =
        isCrowded
            ? Optional.of(new Crowd(fleet, SceneTeams.ORDINARY, SceneTeams.URGENT))
            : Optional.empty();
    recovery =
        new SceneRecovery(
            fleet, List.of(SceneTeams.ORDINARY, SceneTeams.URGENT), hasSlowEngine(strikes));
    promises = new ScenePromises(fleet);
    watch = new StrikeWatch(this, strikes, promises);
    fleet.observe(watch);
  }

  /** Creates a scene in which every queue is full of ordinary work while faults strike. */
  static Scene crowded(List<Strike> strikes, long seed) {
    return new Scene(strikes, seed, true);
  }

  private static void limitQueue(SidecarOptions.Builder options, boolean isCrowded) {
    if (isCrowded) {
      options.maximumQueueLength(Crowd.QUEUE_LENGTH);
    }
  }

  /** Runs the scene and checks every promise. */
  SceneResult run() {
    long start = fleet.nowMicros();
    schedule(start);
    fleet.runUntil(start + END_MICROS);
    checkCallers();
    violations.addAll(FleetInvariants.violations(fleet, Set.of(TeamSpec.REPEATABLE_PATH)));
    violations.addAll(promises.violations());
    violations.addAll(recovery.violations(SceneLog.state(fleet)));
    crowd.ifPresent(one -> violations.addAll(one.violations()));
    checkPublication();
    return new SceneResult(List.copyOf(violations), watch.pending());
  }

  VirtualFleet fleet() {
    return fleet;
  }

  boolean isWatching() {
    return isWatching;
  }

  long inMicros(long micros) {
    return fleet.nowMicros() + micros;
  }

  VirtualProcess processOf(Occurrence at) {
    return at.isRouter() ? fleet.router(at.process()) : fleet.sidecar(at.process());
  }

  RouterProcess routerOf(Occurrence at) {
    return fleet.router(at.isRouter() ? at.process() : "router-1");
  }

  SidecarProcess sidecarOf(Occurrence at) {
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
    fleet.chat(SceneTeams.chatOf(SceneTeams.ORDINARY, EngineRequest.POISON_MARKER));
  }

  void publishConflict() {
    anyRouter()
        .ifPresent(
            router ->
                publish(
                    router,
                    SceneTeams.ORDINARY.withModelVersion(SceneTeams.version("v3")),
                    result -> {}));
  }

  void leaveOldestCaller() {
    fleet.callers().chats().stream()
        .filter(chat -> chat.state() == CallerRecord.State.OPEN)
        .findFirst()
        .ifPresent(chat -> fleet.callers().leave(fleet.router(chat.router()), chat));
  }

  void repeatEventsLate(int count, long delayMicros) {
    repeats = count;
    repeatDelayMicros = delayMicros;
  }

  void noteRouterEvent(String router, RouterEvent event) {
    boolean isRepeatable =
        event instanceof RouterEvent.PeerMessageReceived || event instanceof RouterEvent.LogRead;
    if (repeats > 0 && isRepeatable) {
      repeats--;
      fleet.repeat(fleet.router(router), event, repeatDelayMicros);
    }
  }

  void noteSidecarEvent(String sidecar, SidecarEvent event) {
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
    fleet.at(start + WARM_UP_MICROS, () -> isWatching = true);
    crowd.ifPresent(one -> one.schedule(start + WARM_UP_MICROS));
    for (int index = 0; index < CHATS; index++) {
      TeamSpec team = index % 5 == 0 ? SceneTeams.URGENT : SceneTeams.ORDINARY;
      String question = "question " + index + " answer-tokens:24";
      long at = start + WARM_UP_MICROS + 10_000 + index * CHAT_INTERVAL_MICROS;
      fleet.at(at, () -> fleet.chat(SceneTeams.chatOf(team, question)));
    }
    for (int index = 0; index < BOOKINGS; index++) {
      String key = "booking-key-" + index;
      long at = start + WARM_UP_MICROS + 20_000 + index * BOOKING_INTERVAL_MICROS;
      fleet.at(at, () -> fleet.call(SceneTeams.bookingOf(key)));
      fleet.at(at + REPEAT_MICROS, () -> fleet.call(SceneTeams.bookingOf(key)));
    }
    fleet.at(start + PUBLISH_MICROS, this::publishNewVersion);
    fleet.at(start + DRAIN_SIDECAR_MICROS, this::drainSidecar);
    fleet.at(start + DRAIN_ROUTER_MICROS, () -> fleet.drain(fleet.router(DRAINED_ROUTER)));
    scheduleLate("late", start + RECOVERED_MICROS, recovery::addRecovered);
    fleet.at(start + RESTART_MICROS, this::restartRouters);
    scheduleLate("restarted", start + RESTARTED_MICROS, recovery::addAfterRestart);
    fleet.at(start + CONVERGED_MICROS, this::askWhoIsInForce);
    fleet.at(start + END_MICROS - 1, this::checkConverged);
  }

  private void scheduleLate(String name, long start, Consumer<ChatRecord> taker) {
    for (int index = 0; index < LATE_CHATS; index++) {
      TeamSpec team = index % 2 == 0 ? SceneTeams.URGENT : SceneTeams.ORDINARY;
      String question = name + " question " + index + " answer-tokens:8";
      long at = start + index * CHAT_INTERVAL_MICROS;
      fleet.at(at, () -> taker.accept(fleet.chat(SceneTeams.chatOf(team, question))));
    }
  }

  private void restartRouters() {
    isWatching = false;
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
                  SceneTeams.ORDINARY.withModelVersion(SceneTeams.version("v2")),
                  result -> publication = Optional.of(result));
            });
  }

  private void publish(RouterProcess router, TeamSpec team, Consumer<PublicationResult> onResult) {
    ChangeRequest change =
        new ChangeRequest(
            "scene-change-" + changes++,
            team.name(),
            Optional.of(team.template()),
            Optional.empty());
    router.core().publish(change, onResult, fleet.nowMicros());
  }

  private void drainSidecar() {
    promises.onLeaving(DRAINED_SIDECAR, fleet.nowMicros());
    fleet.drain(fleet.sidecar(DRAINED_SIDECAR));
  }

  private Optional<RouterProcess> anyRouter() {
    return fleet.routers().stream().filter(VirtualProcess::isUp).findFirst();
  }

  private void askWhoIsInForce() {
    anyRouter().ifPresent(router -> router.core().configurationInForce());
  }

  private void checkConverged() {
    long end = SceneLog.state(fleet).effectiveOffset();
    Optional<RouterProcess> asked = anyRouter();
    if (asked.isEmpty()) {
      return;
    }
    Map<String, Long> inForce = asked.get().core().configurationInForce();
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
    Optional<RouterProcess> router = anyRouter();
    if (!hasPublished || publication.isEmpty() || router.isEmpty()) {
      return;
    }
    boolean isAccepted = publication.get() instanceof PublicationResult.Accepted;
    String source = router.get().core().templateSource(SceneTeams.ORDINARY.name()).orElse("");
    if (isAccepted && source.equals(SceneTeams.ORDINARY.template())) {
      violations.add("an accepted publication is not in force");
    }
  }

  private static boolean hasSlowEngine(List<Strike> strikes) {
    return strikes.stream().anyMatch(strike -> strike.fault() == Fault.SLOW_ENGINE);
  }
}
