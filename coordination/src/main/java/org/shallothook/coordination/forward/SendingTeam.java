package org.shallothook.coordination.forward;

import java.util.Optional;
import org.shallothook.state.route.CallerTeam;
import org.shallothook.state.route.PromptOutline;
import org.shallothook.state.route.RouteTable;

/**
 * The team in whose name a request is sent, and with whom it shares cached parts of its prompt.
 *
 * <p>Invariant: both follow from the configuration at the time of sending, as the request may have
 * waited, or been sent before, under an earlier one. Immutable, for the thread of its request.
 */
final class SendingTeam {
  private final PendingRequest request;
  private final RouteTable table;
  private final Optional<CallerTeam> team;

  /**
   * Finds the team that holds the key of a request, or held it when the request arrived if none
   * does any more.
   *
   * @param request request that is sent now
   * @param table configuration in force
   */
  SendingTeam(PendingRequest request, RouteTable table) {
    this.request = request;
    this.table = table;
    this.team =
        table.version() == request.configurationVersion()
            ? request.team()
            : request.head().key().flatMap(table::teamOf).or(request::team);
  }

  /** Returns the name of the team; empty if the caller belongs to none. */
  Optional<String> name() {
    return team.map(CallerTeam::name);
  }

  /** Returns the scope of the prompt's cached parts, without the version of the weights. */
  String promptScope() {
    return table.cacheScope(request.head().prompt().map(PromptOutline::model).orElse(""), team);
  }

  /**
   * Returns the scope of a request without a readable description of its prompt; empty if it has no
   * prompt. Servers read the description themselves and share the parts of all requests without a
   * scope, and neither the model nor the version of its weights is known here.
   */
  Optional<String> undescribedPromptScope() {
    return table.unsharedCacheScope(request.service(), request.head().id(), team);
  }
}
