package org.shallothook.benchmarks.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.shallothook.benchmarks.virtual.CallerRecord;
import org.shallothook.benchmarks.virtual.FleetBuilder;
import org.shallothook.benchmarks.virtual.FleetObserver;
import org.shallothook.benchmarks.virtual.ServiceCall;
import org.shallothook.benchmarks.virtual.TeamSpec;
import org.shallothook.benchmarks.virtual.VirtualFleet;
import org.shallothook.benchmarks.workload.Deployment;
import org.shallothook.coordination.booking.ClaimOptions;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.AppendKind;
import org.shallothook.coordination.sidecar.LogCoordinationOptions;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.state.request.AttemptId;

/**
 * Bookings at the rate of the target size: appends to the log by kind, and the time from a call's
 * arrival at a sidecar until its claim is read back, with claims in batches and one by one.
 *
 * <p>Not thread-safe.
 */
final class BookingRateScenario {
  private static final String SERVICE = BookingHistories.SERVICE;
  private static final TeamSpec TEAM = BookingHistories.TEAM;
  private static final int SIDECARS = 200;
  private static final int BOOKINGS_PER_SECOND = 210;
  private static final int GREATEST_APPENDS_PER_SECOND = 300;
  private static final double GREATEST_CLAIM_MILLIS = 400;
  private static final double MILLISECOND_MICROS = 1_000;
  private static final long START_MICROS = VirtualFleet.START_MICROS + 5 * SteadyLoad.SECOND_MICROS;
  private static final long RUN_MICROS = 10 * SteadyLoad.SECOND_MICROS;
  private static final long DRAIN_MICROS = 5 * SteadyLoad.SECOND_MICROS;
  private static final int SINGLE_PARTITIONS = 4_096;

  private final Deployment deployment;
  private final long seed;

  BookingRateScenario(Deployment deployment, long seed) {
    this.deployment = deployment;
    this.seed = seed;
  }

  List<Measure> measures() {
    Run batched = new Run(ClaimOptions.DEFAULT);
    Run single =
        new Run(
            new ClaimOptions(
                SINGLE_PARTITIONS,
                ClaimOptions.DEFAULT.windowMicros(),
                ClaimOptions.DEFAULT.clockSkewMicros(),
                ClaimOptions.DEFAULT.retentionMicros(),
                1));
    batched.run();
    single.run();
    Map<String, Double> appends = batched.appendsByKind();
    appends.put("one-by-one", single.appendsPerSecond());
    appends.put("done-share", batched.doneShare());
    return List.of(
        new Measure(
            "booking-appends",
            deployment,
            "appends/s",
            batched.appendsPerSecond(),
            Bound.atMost(GREATEST_APPENDS_PER_SECOND),
            appends),
        new Measure(
            "booking-claim-p99",
            deployment,
            "ms",
            batched.claimMillis(99),
            Bound.atMost(GREATEST_CLAIM_MILLIS),
            Map.of(
                "p50", batched.claimMillis(50),
                "one-by-one-p50", single.claimMillis(50),
                "one-by-one-p99", single.claimMillis(99))));
  }

  private final class Run implements FleetObserver {
    private final SplittableRandom random = new SplittableRandom(seed);
    private final VirtualFleet fleet;
    private final FleetBuilder builder;
    private final Map<AttemptId, Long> arrivals = new HashMap<>();
    private final List<Long> claimMicros = new ArrayList<>();

    Run(ClaimOptions bookings) {
      builder =
          deployment
              .places(seed)
              .engines(0)
              .withoutStore()
              .services(SERVICE, SIDECARS, false)
              .agreement(
                  new LogCoordinationOptions(
                      bookings, LogCoordinationOptions.DEFAULT.versionsPerEngine()))
              .team(TEAM);
      fleet = builder.build();
    }

    void run() {
      fleet.observe(this);
      long bookings = BOOKINGS_PER_SECOND * RUN_MICROS / SteadyLoad.SECOND_MICROS;
      for (long booking = 0; booking < bookings; booking++) {
        String key = "key-" + booking;
        ServiceCall call = new ServiceCall(TEAM.key(), SERVICE, "book", Optional.of(key), key);
        fleet.at(START_MICROS + random.nextLong(RUN_MICROS), () -> fleet.call(call));
      }
      fleet.runUntil(START_MICROS + RUN_MICROS + DRAIN_MICROS);
    }

    @Override
    public void sidecarEvent(String sidecar, SidecarEvent event, long nowMicros) {
      if (event instanceof SidecarEvent.PeerMessageReceived received
          && received.envelope().message() instanceof PeerMessage.Call call) {
        arrivals.put(call.attempt(), nowMicros);
      }
    }

    @Override
    public void sidecarCommand(String sidecar, SidecarCommand command, long nowMicros) {
      if (command instanceof SidecarCommand.CallService call) {
        claimMicros.add(nowMicros - arrivals.get(call.attempt()));
      }
    }

    double appendsPerSecond() {
      return appendsByKind().values().stream().mapToDouble(Double::doubleValue).sum();
    }

    Map<String, Double> appendsByKind() {
      Map<String, Double> appends = new LinkedHashMap<>();
      for (AppendKind kind : AppendKind.values()) {
        double count = builder.counts().getOrDefault(kind.counter(), 0L);
        if (count > 0) {
          appends.put(kind.counter(), count * SteadyLoad.SECOND_MICROS / RUN_MICROS);
        }
      }
      return appends;
    }

    double claimMillis(int percentile) {
      List<Long> sorted = claimMicros.stream().sorted().toList();
      int rank = (int) Math.ceil(percentile / 100.0 * sorted.size());
      return sorted.isEmpty()
          ? Double.POSITIVE_INFINITY
          : sorted.get(Math.max(0, rank - 1)) / MILLISECOND_MICROS;
    }

    double doneShare() {
      List<CallerRecord.State> states =
          fleet.callers().calls().stream().<CallerRecord.State>map(CallerRecord::state).toList();
      long done = states.stream().filter(state -> state == CallerRecord.State.COMPLETE).count();
      return states.isEmpty() ? 0 : (double) done / states.size();
    }
  }
}
