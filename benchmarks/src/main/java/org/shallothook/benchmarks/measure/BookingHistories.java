package org.shallothook.benchmarks.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.shallothook.benchmarks.virtual.CallerRecord;
import org.shallothook.benchmarks.virtual.FleetInvariants;
import org.shallothook.benchmarks.virtual.FleetObserver;
import org.shallothook.benchmarks.virtual.ServiceCall;
import org.shallothook.benchmarks.virtual.ServiceRecord;
import org.shallothook.benchmarks.virtual.TeamSpec;
import org.shallothook.benchmarks.virtual.VirtualFleet;
import org.shallothook.benchmarks.virtual.VirtualRouter;
import org.shallothook.benchmarks.virtual.VirtualSidecar;
import org.shallothook.benchmarks.workload.Deployment;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.request.Outcome;

/**
 * Seeded histories of bookings that are sent twice through different routers, while sidecars crash
 * at any step and pause past deadlines, and answers of the log and of the service are lost.
 *
 * <p>Not thread-safe.
 */
final class BookingHistories {
  static final String SERVICE = "booking";

  /** Team whose calls of the service may not be repeated. */
  static final TeamSpec TEAM =
      new TeamSpec(
          "guild",
          ModelVersion.of("m", "v1"),
          PriorityClass.ORDINARY,
          "",
          Map.of(),
          SERVICE,
          false);

  private static final String PATH = "book";
  private static final int ROUTERS = 2;
  private static final int SIDECARS = 3;
  private static final int KEYS = 4;
  private static final int CALLS = 10;
  private static final int CRASHES = 2;
  private static final int FAULTS = 4;
  private static final int LAST_STEP = 200;
  private static final long START_MICROS = VirtualFleet.START_MICROS + 2 * SteadyLoad.SECOND_MICROS;
  private static final long BUSY_MICROS = 8 * SteadyLoad.SECOND_MICROS;
  private static final long SETTLE_MICROS = 15 * SteadyLoad.SECOND_MICROS;
  private static final long LONGEST_DOWN_MICROS = SteadyLoad.SECOND_MICROS;
  private static final long LONGEST_PAUSE_MICROS = 12 * SteadyLoad.SECOND_MICROS;
  private static final long LONGEST_OUTAGE_MICROS = 4 * SteadyLoad.SECOND_MICROS;

  private final Deployment deployment;
  private final long seed;
  private final int histories;
  private final Map<String, Double> told = new HashMap<>();
  private int doubleRuns;
  private int falseNotRun;
  private int violations;

  BookingHistories(Deployment deployment, long seed, int histories) {
    this.deployment = deployment;
    this.seed = seed;
    this.histories = histories;
  }

  List<Measure> measures() {
    for (int history = 0; history < histories; history++) {
      new History(seed * 1_000_003 + history).run();
    }
    double sent = told.values().stream().mapToDouble(Double::doubleValue).sum();
    Map<String, Double> shares = new HashMap<>();
    told.forEach((answer, count) -> shares.put(answer, count / sent));
    shares.put("sent", sent);
    shares.put("histories", (double) histories);
    return List.of(
        measure("booking-double-runs", "bookings", doubleRuns, shares),
        measure("booking-false-not-run", "answers", falseNotRun, Map.of()),
        measure("booking-violations", "violations", violations, Map.of()));
  }

  private Measure measure(String name, String unit, double figure, Map<String, Double> others) {
    return new Measure(name, deployment, unit, figure, Bound.atMost(0), others);
  }

  private final class History implements FleetObserver {
    private final SplittableRandom random;
    private final VirtualFleet fleet;
    private final List<Integer> crashSteps = new ArrayList<>();
    private int steps;

    History(long historySeed) {
      random = new SplittableRandom(historySeed);
      fleet =
          deployment
              .places(historySeed)
              .routers(ROUTERS)
              .engines(0)
              .withoutStore()
              .services(SERVICE, SIDECARS, random.nextBoolean())
              .team(TEAM)
              .build();
    }

    void run() {
      for (int crash = 0; crash < CRASHES; crash++) {
        crashSteps.add(random.nextInt(LAST_STEP));
      }
      fleet.runUntil(START_MICROS);
      fleet.observe(this);
      for (int call = 0; call < CALLS; call++) {
        String key = "key-" + random.nextInt(KEYS);
        fleet.at(START_MICROS + random.nextLong(BUSY_MICROS), () -> book(key));
      }
      for (int fault = 0; fault < FAULTS; fault++) {
        fleet.at(START_MICROS + random.nextLong(BUSY_MICROS), this::fault);
      }
      fleet.runUntil(START_MICROS + BUSY_MICROS + SETTLE_MICROS);
      for (int key = 0; key < KEYS; key++) {
        book("key-" + key);
      }
      fleet.runUntil(START_MICROS + BUSY_MICROS + 2 * SETTLE_MICROS);
      check();
    }

    private void book(String key) {
      VirtualRouter router = router();
      fleet
          .callers()
          .call(router, new ServiceCall(TEAM.key(), SERVICE, PATH, Optional.of(key), key));
    }

    private VirtualRouter router() {
      return fleet.router("router-" + (1 + random.nextInt(ROUTERS)));
    }

    private VirtualSidecar sidecar() {
      return fleet.sidecar(SERVICE + "-" + (1 + random.nextInt(SIDECARS)));
    }

    private void fault() {
      long now = fleet.nowMicros();
      switch (random.nextInt(6)) {
        case 0 -> sidecar().freezeUntil(now + random.nextLong(LONGEST_PAUSE_MICROS));
        case 1 ->
            fleet
                .platform()
                .log()
                .disturbances()
                .setOutageUntil(now + random.nextLong(LONGEST_OUTAGE_MICROS));
        case 2 -> fleet.platform().log().disturbances().dropResponses(1 + random.nextInt(3));
        case 3 -> fleet.platform().log().disturbances().dropRequests(1 + random.nextInt(3));
        case 4 -> fleet.service(sidecar().name()).disturbances().dropResponses(1);
        default -> fleet.restart(router(), random.nextLong(LONGEST_DOWN_MICROS));
      }
    }

    @Override
    public void sidecarEvent(String sidecar, SidecarEvent event, long nowMicros) {
      boolean isStep =
          event instanceof SidecarEvent.PeerMessageReceived
              || event instanceof SidecarEvent.LogAppended
              || event instanceof SidecarEvent.LogAppendFailed
              || event instanceof SidecarEvent.LogRead
              || event instanceof SidecarEvent.ServiceAnswered
              || event instanceof SidecarEvent.ServiceFailed;
      countStep(sidecar, isStep);
    }

    @Override
    public void sidecarCommand(String sidecar, SidecarCommand command, long nowMicros) {
      boolean isStep =
          command instanceof SidecarCommand.SendToPeer
              || command instanceof SidecarCommand.AppendLog
              || command instanceof SidecarCommand.ReadLog
              || command instanceof SidecarCommand.CallService;
      countStep(sidecar, isStep);
    }

    private void countStep(String sidecar, boolean isStep) {
      if (isStep && crashSteps.contains(steps++)) {
        fleet.restart(fleet.sidecar(sidecar), random.nextLong(LONGEST_DOWN_MICROS));
      }
    }

    private void check() {
      fleet.ledger().serviceRuns().values().forEach(runs -> doubleRuns += runs > 1 ? 1 : 0);
      for (ServiceRecord call : fleet.callers().calls()) {
        told.merge(answerOf(call), 1.0, Double::sum);
        boolean isNotRun =
            call.refusal().filter(one -> one.outcome() == Outcome.NOT_RUN).isPresent();
        falseNotRun += isNotRun && !fleet.ledger().executions(call.request()).isEmpty() ? 1 : 0;
      }
      violations += FleetInvariants.violations(fleet, Set.of(TeamSpec.REPEATABLE_PATH)).size();
    }

    private static String answerOf(ServiceRecord call) {
      if (call.state() == CallerRecord.State.COMPLETE) {
        return "done";
      }
      return call.refusal()
          .map(refusal -> refusal.outcome().name().toLowerCase(Locale.ROOT).replace('_', '-'))
          .orElse("connection-lost");
    }
  }
}
