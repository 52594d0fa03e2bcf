package org.shallothook.coordination.forward;

import java.util.Optional;
import org.shallothook.state.route.CallerTeam;
import org.shallothook.state.route.PromptOutline;
import org.shallothook.state.route.RouteTable;

/**
 * The team in whose name a request is sent, and with whom it shares cached parts of its prompt.
 *
 * <p>Invariant: both follow from the configuration at the time of sending, as the request may have
 * waited, or been sent before, under an earlier one. Immutable and thread-safe.
 */
final class SendingTeam {
  private final RouteTable table;
  private final RequestHead head;
  private final Optional<CallerTeam> team;

  private SendingTeam(RouteTable table, RequestHead head, Optional<CallerTeam> team) {
    this.table = table;
    this.head = head;
    this.team = team;
  }

  /**
   * Returns the team that holds the key of a request, or held it when the request arrived if none
   * does any more.
   *
   * @param request request that is sent now
   * @param table configuration in force
   */
  static SendingTeam of(PendingRequest request, RouteTable table) {
    RequestHead head = request.head();
    return new SendingTeam(table, head, head.key().flatMap(table::teamOf).or(request::team));
  }

  /** Returns the name of the team; empty if the caller belongs to none. */
  Optional<String> name() {
    return team.map(CallerTeam::name);
  }

  /** Returns the scope of the prompt's cached parts, without the version of the weights. */
  String promptScope() {
    return table.cacheScope(head.prompt().map(PromptOutline::model).orElse(""), team);
  }
}
