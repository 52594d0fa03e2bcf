package org.shallothook.benchmarks.measure;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shallothook.benchmarks.workload.Deployment;
import org.shallothook.coordination.placement.PlacementStrategy;

/**
 * Experiments of model traffic; each gives one or more measures.
 *
 * <p>Invariant: the same deployment and seed give the same figures to the digit. Immutable and
 * thread-safe.
 */
public enum Experiment {
  /** The policy of the router and the baselines under the same traffic at the bounded load. */
  STEADY_STATE {
    @Override
    public List<Measure> run(Deployment deployment, Peaks peaks) {
      Map<PlacementStrategy, RunMetrics> runs = new LinkedHashMap<>();
      double omniscient = 0;
      for (PlacementStrategy strategy : PlacementStrategy.values()) {
        SteadyLoad load =
            SteadyLoad.start(deployment, peaks.seed(), SteadyLoad.BOUNDED_LOAD, strategy);
        runs.put(strategy, load.measure(STEADY_WINDOW_MICROS));
        if (strategy == PlacementStrategy.PREFIX_AFFINITY) {
          omniscient =
              Omniscient.hitRate(
                  load.fleet().ledger().chains(),
                  SteadyLoad.ENGINES,
                  Deployment.ENGINES,
                  load.windowStartMicros());
        }
      }
      return new SteadyStateMeasures(deployment, runs, omniscient).all();
    }
  },

  /** The hot tenants change from one second to the next. */
  HOT_PREFIX_SHIFT {
    @Override
    public List<Measure> run(Deployment deployment, Peaks peaks) {
      SteadyLoad load = SteadyLoad.start(deployment, peaks.seed(), SteadyLoad.BOUNDED_LOAD);
      long shift = load.windowStartMicros() + SteadyLoad.SECOND_MICROS;
      long settled = shift + RECOVERY_MICROS;
      long end = settled + RECOVERY_MICROS;
      load.fleet().at(shift, () -> load.traffic().shiftTo(Deployment.NEXT));
      load.endAt(end);
      load.runOut(end);
      RunMetrics after = RunMetrics.of(load.fleet(), settled, end);
      RunMetrics during = RunMetrics.of(load.fleet(), shift, settled);
      return List.of(
          new Measure(
              "wasted-recomputation-10s-after-shift",
              deployment,
              "share of prompt tokens",
              after.wastedShare(),
              Bound.atMost(MAXIMUM_WASTE),
              Map.of("first-10s", during.wastedShare())));
    }
  },

  /** A priority team calls again after an hour while ordinary teams overload the engines. */
  PRIORITY_AFTER_IDLE {
    @Override
    public List<Measure> run(Deployment deployment, Peaks peaks) {
      return new PriorityScenario(deployment, peaks.seed()).measures();
    }
  },

  /** Twice the load that the engines can carry. */
  OVERLOAD {
    @Override
    public List<Measure> run(Deployment deployment, Peaks peaks) {
      Map<String, Double> byLoad = new LinkedHashMap<>();
      peaks.byLoad(deployment).forEach((load, goodput) -> byLoad.put("at-" + load + "x", goodput));
      return List.of(
          new Measure(
              "goodput-at-2x",
              deployment,
              "requests/s",
              peaks.goodput(deployment, peaks.doubleLoad(deployment)),
              Bound.atLeast(GOODPUT_SHARE * peaks.peak(deployment)),
              byLoad));
    }
  },

  /** A router ends without warning and comes back. */
  ROUTER_RESTART {
    @Override
    public List<Measure> run(Deployment deployment, Peaks peaks) {
      return new RestartScenario(deployment, peaks.seed()).measures();
    }
  },

  /** What routers and sidecars say to each other beside prompts and answers. */
  CONTROL_BYTES {
    @Override
    public List<Measure> run(Deployment deployment, Peaks peaks) {
      return ControlScenario.measures(deployment, peaks.seed());
    }
  },

  /** Every process of one failure domain ends without warning. */
  DOMAIN_LOSS {
    @Override
    public List<Measure> run(Deployment deployment, Peaks peaks) {
      return new DomainLossScenario(deployment, peaks).measures();
    }
  },

  /** Every team is moved to a new model version under load. */
  VERSION_ROLL {
    @Override
    public List<Measure> run(Deployment deployment, Peaks peaks) {
      return new VersionRollScenario(deployment, peaks.seed()).measures();
    }
  },

  /** How long an accepted change takes to be in force everywhere, in quiet and in trouble. */
  CONFIGURATION_SPREAD {
    @Override
    public List<Measure> run(Deployment deployment, Peaks peaks) {
      return new ConfigurationSpreadScenario(deployment, peaks.seed()).measures();
    }
  },

  /** Histories of racing publishers, lost answers, restarts, outages and expiring records. */
  CONFIGURATION_HISTORIES {
    @Override
    public List<Measure> run(Deployment deployment, Peaks peaks) {
      return run(deployment, peaks, HistoryCounts.DEFAULT);
    }

    @Override
    public List<Measure> run(Deployment deployment, Peaks peaks, HistoryCounts counts) {
      return new ConfigurationHistories(deployment, peaks.seed(), counts.configurations())
          .measures();
    }
  },

  /** Histories of bookings sent twice, with crashes at each step, pauses, losses and outages. */
  BOOKING_HISTORIES {
    @Override
    public List<Measure> run(Deployment deployment, Peaks peaks) {
      return run(deployment, peaks, HistoryCounts.DEFAULT);
    }

    @Override
    public List<Measure> run(Deployment deployment, Peaks peaks, HistoryCounts counts) {
      return new BookingHistories(deployment, peaks.seed(), counts.bookings()).measures();
    }
  },

  /** Bookings at the rate of the target size. */
  BOOKING_RATE {
    @Override
    public List<Measure> run(Deployment deployment, Peaks peaks) {
      return new BookingRateScenario(deployment, peaks.seed()).measures();
    }
  };

  static final double MAXIMUM_WASTE = 0.05;
  static final double GOODPUT_SHARE = 0.9;
  static final long RECOVERY_MICROS = 10 * SteadyLoad.SECOND_MICROS;
  private static final long STEADY_WINDOW_MICROS = 20 * SteadyLoad.SECOND_MICROS;

  /** Runs the experiment. */
  public abstract List<Measure> run(Deployment deployment, Peaks peaks);

  /** Runs the experiment, with that many histories where it runs histories. */
  public List<Measure> run(Deployment deployment, Peaks peaks, HistoryCounts counts) {
    return run(deployment, peaks);
  }
}
