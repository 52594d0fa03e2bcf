package org.shallothook.coordination.forward;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.shallothook.coordination.allowance.AllowanceCharge;
import org.shallothook.coordination.allowance.AllowanceCheck;
import org.shallothook.coordination.allowance.TeamAllowances;
import org.shallothook.coordination.message.PeerMessage.UsedAllowance;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.route.CallerTeam;
import org.shallothook.state.route.Route;
import org.shallothook.state.route.RouteTable;
import org.shallothook.state.route.TeamAllowance;

/**
 * Checks arriving requests against the allowances of their teams, and announces their use to the
 * other routers.
 *
 * <p>Invariant: a request that is refused here is not charged. Without an allowance in the
 * configuration nothing is checked or announced. Not thread-safe.
 */
final class TeamAdmission {
  private final TeamAllowances allowances;
  private final Consumer<ForwardCommand> commands;
  private final ForwardJournal journal;

  /**
   * Decision on a request.
   *
   * @param refusal why it is refused; empty if it is accepted
   * @param charge what it was charged; empty if its team has no allowance
   */
  record Admission(Optional<Refusal> refusal, Optional<AllowanceCharge> charge) {
    private static Admission refused(Refusal refusal) {
      return new Admission(Optional.of(refusal), Optional.empty());
    }

    private static Admission accepted(Optional<AllowanceCharge> charge) {
      return new Admission(Optional.empty(), charge);
    }
  }

  TeamAdmission(ForwardOptions options, Consumer<ForwardCommand> commands, ForwardJournal journal) {
    this.allowances = new TeamAllowances(options.allowanceBound(), options.counters());
    this.commands = commands;
    this.journal = journal;
  }

  void onEvent(long nowMicros) {
    allowances.onEvent(nowMicros);
  }

  void onRoutes(RouteTable table, long nowMicros) {
    allowances.onAllowances(table.allowances(), nowMicros);
  }

  void onFleet(RouterFleet fleet, long nowMicros) {
    allowances.onRouters(fleet.self(), fleet.names(), nowMicros);
  }

  void onAnnounced(ForwardEvent.TeamUseAnnounced announced, long nowMicros) {
    allowances.onAnnounced(
        announced.router(), announced.incarnation(), announced.teams(), nowMicros);
  }

  void onTick(long nowMicros) {
    Optional<List<UsedAllowance>> teams = allowances.announcement(nowMicros);
    teams.ifPresent(used -> commands.accept(new ForwardCommand.AnnounceTeamUse(used)));
  }

  /** Accepts and charges a request, or refuses it before anything of it is opened. */
  Admission admit(RequestHead head, Optional<CallerTeam> team, Route route, long nowMicros) {
    Optional<TeamAllowance> allowance = team.flatMap(CallerTeam::allowance);
    if (allowance.isEmpty()) {
      return Admission.accepted(Optional.empty());
    }
    if (allowance.get().unit().needsTokenCounts()
        && head.tokens().kind() == TokenStatement.Kind.UNREADABLE) {
      return Admission.refused(
          Refusal.notRun(
              RefusalReason.MALFORMED_REQUEST,
              "The token counts are no pair of whole numbers, and the team's allowance counts"
                  + " tokens."));
    }
    String name = team.get().name();
    long cost = allowance.get().costOf(head.tokens().stated());
    if (resumesStream(head, route)) {
      return Admission.accepted(allowances.accept(name, cost, nowMicros));
    }
    Optional<AllowanceCheck> check = allowances.check(name, cost, nowMicros);
    Optional<AllowanceCharge> charge = check.flatMap(AllowanceCheck::charge);
    if (check.isEmpty() || charge.isPresent()) {
      return Admission.accepted(charge);
    }
    journal.beyondAllowance(head, name, check.get(), nowMicros);
    return Admission.refused(
        Refusal.notRun(
            RefusalReason.TEAM_ALLOWANCE,
            "The team has used up its allowance.",
            check.get().acceptedAtMicros()));
  }

  /** Returns whether a request goes on with a stream that was charged when it began. */
  private static boolean resumesStream(RequestHead head, Route route) {
    return route.isResumable()
        && (head.resumesAfter().isPresent() || head.resumedRequest().isPresent());
  }
}
