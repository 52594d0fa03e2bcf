package org.shallothook.benchmarks.measure;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.shallothook.benchmarks.virtual.TeamSpec;
import org.shallothook.benchmarks.virtual.VirtualFleet;
import org.shallothook.benchmarks.virtual.VirtualRouter;
import org.shallothook.benchmarks.workload.Deployment;
import org.shallothook.benchmarks.workload.Traffic;
import org.shallothook.coordination.configuration.ChangeRequest;
import org.shallothook.coordination.configuration.PublicationResult;

/**
 * Changes published one after another, and the time from the operator's answer until every router
 * and sidecar has the change in force.
 *
 * <p>Not thread-safe.
 */
final class ConfigurationSpreadScenario {
  private static final int BOOKING_SERVERS = 4;
  private static final int CHANGES = 6;
  private static final double LOAD = 0.1;
  private static final long START_MICROS = VirtualFleet.START_MICROS + 3 * SteadyLoad.SECOND_MICROS;
  private static final long CHANGE_INTERVAL_MICROS = 12 * SteadyLoad.SECOND_MICROS;
  private static final long TROUBLE_MICROS = 9 * SteadyLoad.SECOND_MICROS;
  private static final long WATCH_INTERVAL_MICROS = 10_000;

  /** What goes wrong while a change spreads. */
  private enum Trouble {
    NONE(2) {
      @Override
      void onPublished(VirtualFleet fleet, List<String> domains) {}

      @Override
      void onAccepted(VirtualFleet fleet) {}
    },
    DOMAIN_CUT(8) {
      @Override
      void onPublished(VirtualFleet fleet, List<String> domains) {
        String cut = domains.get(domains.size() - 1);
        fleet.platform().cut(cut, fleet.nowMicros() + TROUBLE_MICROS);
      }

      @Override
      void onAccepted(VirtualFleet fleet) {}
    },
    LOG_DOWN(8) {
      @Override
      void onPublished(VirtualFleet fleet, List<String> domains) {}

      @Override
      void onAccepted(VirtualFleet fleet) {
        long until = fleet.nowMicros() + TROUBLE_MICROS;
        fleet.platform().log().disturbances().setOutageUntil(until);
      }
    };

    private final double boundSeconds;

    Trouble(double boundSeconds) {
      this.boundSeconds = boundSeconds;
    }

    abstract void onPublished(VirtualFleet fleet, List<String> domains);

    abstract void onAccepted(VirtualFleet fleet);

    String measure() {
      return "configuration-in-force-" + name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  private final Deployment deployment;
  private final long seed;

  ConfigurationSpreadScenario(Deployment deployment, long seed) {
    this.deployment = deployment;
    this.seed = seed;
  }

  List<Measure> measures() {
    List<Measure> measures = new ArrayList<>();
    for (Trouble trouble : Trouble.values()) {
      List<Double> seconds = new Run(trouble).secondsUntilInForce();
      Collections.sort(seconds);
      double greatest =
          seconds.size() == CHANGES ? seconds.get(CHANGES - 1) : Double.POSITIVE_INFINITY;
      double median = seconds.isEmpty() ? greatest : seconds.get(seconds.size() / 2);
      measures.add(
          new Measure(
              trouble.measure(),
              deployment,
              "s",
              greatest,
              Bound.atMost(trouble.boundSeconds),
              Map.of("median", median)));
    }
    return measures;
  }

  private final class Run {
    private final Trouble trouble;
    private final VirtualFleet fleet =
        deployment.fleet(seed).services("booking", BOOKING_SERVERS, false).build();
    private final List<Double> seconds = new ArrayList<>();

    Run(Trouble trouble) {
      this.trouble = trouble;
    }

    List<Double> secondsUntilInForce() {
      long end = START_MICROS + CHANGES * CHANGE_INTERVAL_MICROS;
      new Traffic(fleet, deployment, seed)
          .send(START_MICROS, end, LOAD * Traffic.capacity(SteadyLoad.ENGINES));
      for (int change = 0; change < CHANGES; change++) {
        String name = "revision-" + change;
        fleet.at(START_MICROS + change * CHANGE_INTERVAL_MICROS, () -> publish(name));
      }
      fleet.runUntil(end);
      return seconds;
    }

    private void publish(String name) {
      TeamSpec team = fleet.teams().values().iterator().next();
      String source = team.template() + "# " + name + "\n";
      trouble.onPublished(fleet, deployment.domains());
      fleet.publish(
          fleet.routers().iterator().next(),
          new ChangeRequest(name, team.name(), Optional.of(source), Optional.empty()),
          this::onEnd);
    }

    private void onEnd(PublicationResult result) {
      if (result instanceof PublicationResult.Accepted accepted) {
        trouble.onAccepted(fleet);
        watch(accepted.offset(), fleet.nowMicros());
      }
    }

    private void watch(long offset, long acceptedMicros) {
      if (isInForce(offset)) {
        double micros = fleet.nowMicros() - acceptedMicros;
        seconds.add(micros / SteadyLoad.SECOND_MICROS);
      } else {
        fleet.at(fleet.nowMicros() + WATCH_INTERVAL_MICROS, () -> watch(offset, acceptedMicros));
      }
    }

    private boolean isInForce(long offset) {
      return fleet.routers().stream()
              .map(VirtualRouter::core)
              .allMatch(core -> core.status().configurationOffset() > offset)
          && fleet.sidecars().stream()
              .allMatch(sidecar -> sidecar.core().configurationOffset() > offset);
    }
  }
}
