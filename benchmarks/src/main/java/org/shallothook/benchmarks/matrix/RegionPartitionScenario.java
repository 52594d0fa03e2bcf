package org.shallothook.benchmarks.matrix;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.shallothook.benchmarks.virtual.CallerRecord;
import org.shallothook.benchmarks.virtual.ChatRecord;
import org.shallothook.benchmarks.virtual.FleetInvariants;
import org.shallothook.benchmarks.virtual.FleetObserver;
import org.shallothook.benchmarks.virtual.ServiceCall;
import org.shallothook.benchmarks.virtual.ServiceRecord;
import org.shallothook.benchmarks.virtual.TeamSpec;
import org.shallothook.benchmarks.virtual.VirtualFleet;
import org.shallothook.benchmarks.virtual.VirtualProcess;
import org.shallothook.benchmarks.virtual.VirtualRouter;
import org.shallothook.coordination.configuration.ChangeRequest;
import org.shallothook.coordination.configuration.PublicationResult;
import org.shallothook.coordination.router.RouterCommand;
import org.shallothook.coordination.sidecar.SidecarCommand;

/**
 * Scenario of a network partition between two regions. For three minutes the regions cannot reach
 * each other and only one of them reaches the platform; then the partition heals. Both regions
 * receive chats and bookings throughout, and an operator publishes a change in each.
 *
 * <p>Invariant: the same side and seed give the same result. Not thread-safe; used once.
 */
final class RegionPartitionScenario {
  private static final long SECOND_MICROS = 1_000_000;
  private static final long TRAFFIC_MICROS = 3 * SECOND_MICROS;
  private static final long PARTITION_START_MICROS = 6 * SECOND_MICROS;
  private static final long PUBLISH_MICROS = 60 * SECOND_MICROS;
  private static final long HEALED_MICROS = 186 * SECOND_MICROS;
  private static final long IN_FORCE_MICROS = HEALED_MICROS + 8 * SECOND_MICROS;
  private static final long REPEATED_MICROS = HEALED_MICROS + 15 * SECOND_MICROS;
  private static final long RECOVERED_MICROS = HEALED_MICROS + 24 * SECOND_MICROS;
  private static final long RESTART_MICROS = RECOVERED_MICROS + 10 * SECOND_MICROS;
  private static final long DOWN_MICROS = 300_000;
  private static final long END_MICROS = RESTART_MICROS + 20 * SECOND_MICROS;
  private static final long CHAT_INTERVAL_MICROS = 500_000;
  private static final long BOOKING_INTERVAL_MICROS = 3 * SECOND_MICROS;
  private static final long REPEAT_MICROS = 350_000;
  private static final int LATE_CHATS = 6;

  private final VirtualFleet fleet;
  private final Side connected;
  private final ScenarioGuarantees guarantees;
  private final RecoveryGuarantees recovery;
  private final List<ServiceRecord> repeated = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final List<PublicationResult> published = new ArrayList<>();

  /** Region on one side of the partition. Immutable and thread-safe. */
  enum Side {
    NORTH("north"),
    SOUTH("south");

    private final String region;

    Side(String region) {
      this.region = region;
    }

    List<String> domains() {
      return List.of(region + "-1", region + "-2");
    }

    String title() {
      return region;
    }

    Side other() {
      return this == NORTH ? SOUTH : NORTH;
    }
  }

  /**
   * Creates a scenario and its fleet.
   *
   * @param connected side that reaches the platform during the partition
   * @param seed random seed of the fleet
   */
  RegionPartitionScenario(Side connected, long seed) {
    this.connected = connected;
    fleet =
        VirtualFleet.builder()
            .seed(seed)
            .domains(List.of("north-1", "south-1", "north-2", "south-2"))
            .regions(
                Map.of(
                    "north-1", "north", "north-2", "north", "south-1", "south", "south-2", "south"))
            .routers(4)
            .engines(8)
            .services(ScenarioTeams.SERVICE, 4, true)
            .team(ScenarioTeams.ORDINARY)
            .team(ScenarioTeams.URGENT)
            .build();
    guarantees = new ScenarioGuarantees(fleet);
    recovery =
        new RecoveryGuarantees(fleet, List.of(ScenarioTeams.ORDINARY, ScenarioTeams.URGENT), false);
    fleet.observe(new GuaranteeObserver());
  }

  /** Runs the scenario and returns a description of each violated guarantee. */
  List<String> run() {
    long start = fleet.nowMicros();
    fleet.at(start + PARTITION_START_MICROS, () -> startPartition(start + HEALED_MICROS));
    scheduleTraffic(start);
    for (Side side : Side.values()) {
      fleet.at(start + PUBLISH_MICROS, () -> publishAt(side));
    }
    fleet.at(start + IN_FORCE_MICROS, () -> checkInForce("8 s after the regions met"));
    fleet.at(start + REPEATED_MICROS, this::repeatBookings);
    scheduleLate("late", start + RECOVERED_MICROS, recovery::addRecovered);
    fleet.at(start + RESTART_MICROS, this::restartRouters);
    scheduleLate("restarted", start + RESTART_MICROS + SECOND_MICROS, recovery::addAfterRestart);
    fleet.runUntil(start + END_MICROS);
    checkInForce("at the end");
    checkCallers();
    violations.addAll(FleetInvariants.violations(fleet, Set.of(TeamSpec.REPEATABLE_PATH)));
    violations.addAll(guarantees.violations());
    violations.addAll(recovery.violations(ScenarioLog.state(fleet)));
    checkAccepted();
    return List.copyOf(violations);
  }

  private void startPartition(long untilMicros) {
    for (String one : Side.NORTH.domains()) {
      Side.SOUTH.domains().forEach(other -> fleet.cut(one, other, untilMicros));
    }
    connected.other().domains().forEach(domain -> fleet.platform().cut(domain, untilMicros));
  }

  private void scheduleTraffic(long start) {
    int number = 0;
    for (long at = TRAFFIC_MICROS; at < HEALED_MICROS; at += CHAT_INTERVAL_MICROS) {
      TeamSpec team = number % 5 == 0 ? ScenarioTeams.URGENT : ScenarioTeams.ORDINARY;
      String question = "question " + number++ + " answer-tokens:24";
      fleet.at(start + at, () -> fleet.chat(ScenarioTeams.chatOf(team, question)));
    }
    for (long at = TRAFFIC_MICROS; at < HEALED_MICROS; at += BOOKING_INTERVAL_MICROS) {
      ServiceCall booking = ScenarioTeams.bookingOf("booking-key-" + at);
      fleet.at(start + at, () -> fleet.call(booking));
      fleet.at(start + at + REPEAT_MICROS, () -> fleet.call(booking));
    }
  }

  private void scheduleLate(String name, long start, Consumer<ChatRecord> onSent) {
    for (int index = 0; index < LATE_CHATS; index++) {
      TeamSpec team = index % 2 == 0 ? ScenarioTeams.URGENT : ScenarioTeams.ORDINARY;
      String question = name + " question " + index + " answer-tokens:8";
      fleet.at(
          start + index * CHAT_INTERVAL_MICROS / 5,
          () -> onSent.accept(fleet.chat(ScenarioTeams.chatOf(team, question))));
    }
  }

  private void publishAt(Side side) {
    String version = side == Side.NORTH ? "v2" : "v3";
    TeamSpec team = ScenarioTeams.ORDINARY.withModelVersion(ScenarioTeams.version(version));
    VirtualRouter router =
        fleet.routers().stream()
            .filter(one -> side.domains().contains(one.failureDomain()))
            .findFirst()
            .orElseThrow();
    ChangeRequest change =
        new ChangeRequest(
            "change-of-" + side, team.name(), Optional.of(team.template()), Optional.empty());
    fleet.publish(router, change, published::add);
  }

  /** Repeats every booking; since the partition has healed, each must get its response. */
  private void repeatBookings() {
    List<ServiceCall> queried =
        fleet.callers().calls().stream().map(ServiceRecord::call).distinct().toList();
    queried.forEach(booking -> repeated.add(fleet.call(booking)));
  }

  private void restartRouters() {
    fleet.routers().forEach(router -> fleet.restart(router, DOWN_MICROS));
  }

  private void checkInForce(String when) {
    long end = ScenarioLog.state(fleet).effectiveOffset();
    List<VirtualProcess> all = new ArrayList<>(fleet.routers());
    all.addAll(fleet.sidecars());
    for (VirtualProcess process : all) {
      long offset = guarantees.lastOffset(process.name(), process.incarnation());
      if (offset < end) {
        violations.add(process.name() + ": has sent " + offset + ", not " + end + ", " + when);
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
    for (ServiceRecord booking : repeated) {
      if (booking.state() != CallerRecord.State.COMPLETE) {
        violations.add(booking.request() + ": not answered once healed: " + booking.refusal());
      }
    }
  }

  /**
   * Checks that a published change was accepted, as the connected side's must be. Does not check
   * that an accepted change is never undone by the other side's.
   */
  private void checkAccepted() {
    boolean isAccepted = published.stream().anyMatch(PublicationResult.Accepted.class::isInstance);
    if (!isAccepted) {
      violations.add("no publication was accepted: " + published);
    }
  }

  /** Passes the commands of all processes to the guarantees that are checked during the run. */
  private final class GuaranteeObserver implements FleetObserver {
    @Override
    public void routerCommand(String router, RouterCommand command, long nowMicros) {
      guarantees.onRouterCommand(router, command);
    }

    @Override
    public void sidecarCommand(String sidecar, SidecarCommand command, long nowMicros) {
      guarantees.onSidecarCommand(sidecar, command, nowMicros);
    }
  }
}
