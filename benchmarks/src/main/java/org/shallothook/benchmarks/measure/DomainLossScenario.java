package org.shallothook.benchmarks.measure;

import java.util.List;
import java.util.Map;
import org.shallothook.benchmarks.virtual.CallerRecord;
import org.shallothook.benchmarks.virtual.ChatRecord;
import org.shallothook.benchmarks.virtual.VirtualFleet;
import org.shallothook.benchmarks.workload.Deployment;
import org.shallothook.benchmarks.workload.Traffic;
import org.shallothook.state.request.Outcome;

/**
 * Every process of the first failure domain ends at once under load.
 *
 * <p>Requests whose own router ended are left out of the lost ones: their callers' connections end
 * with it.
 *
 * <p>Not thread-safe.
 */
final class DomainLossScenario {
  private final Deployment deployment;
  private final Peaks peaks;

  DomainLossScenario(Deployment deployment, Peaks peaks) {
    this.deployment = deployment;
    this.peaks = peaks;
  }

  List<Measure> measures() {
    SteadyLoad load = SteadyLoad.start(deployment, peaks.seed(), SteadyLoad.BOUNDED_LOAD);
    VirtualFleet fleet = load.fleet();
    String domain = deployment.domains().get(0);
    long loss = load.windowStartMicros();
    long settled = loss + Experiment.RECOVERY_MICROS;
    long end = settled + Experiment.RECOVERY_MICROS;
    load.endAt(end);
    fleet.runUntil(loss);
    List<ChatRecord> notBegun =
        fleet.callers().chats().stream()
            .filter(chat -> chat.state() == CallerRecord.State.OPEN && chat.tokens() == 0)
            .filter(chat -> !fleet.router(chat.router()).failureDomain().equals(domain))
            .toList();
    fleet.loseDomain(domain);
    load.runOut(end);
    double offered = SteadyLoad.BOUNDED_LOAD * Traffic.capacity(SteadyLoad.ENGINES);
    double remaining = peaks.peak(deployment) * remainingShare(fleet, domain);
    RunMetrics after = RunMetrics.of(fleet, settled, end);
    return List.of(
        new Measure(
            "domain-loss-requests-lost",
            deployment,
            "requests",
            notBegun.stream().filter(DomainLossScenario::isLost).count(),
            Bound.atMost(0),
            Map.of("not-begun", (double) notBegun.size())),
        new Measure(
            "domain-loss-goodput",
            deployment,
            "requests/s",
            after.goodput(),
            Bound.atLeast(Experiment.GOODPUT_SHARE * Math.min(remaining, offered)),
            Map.of("remaining-capacity", remaining, "offered", offered)));
  }

  private static double remainingShare(VirtualFleet fleet, String domain) {
    long all = fleet.engines().size();
    long lost =
        fleet.engines().keySet().stream()
            .filter(engine -> fleet.sidecar(engine).failureDomain().equals(domain))
            .count();
    return (double) (all - lost) / all;
  }

  private static boolean isLost(ChatRecord chat) {
    boolean isRefusedTruthfully =
        chat.refusal().filter(refusal -> refusal.outcome() == Outcome.NOT_RUN).isPresent();
    return chat.state() != CallerRecord.State.COMPLETE && !isRefusedTruthfully;
  }
}
