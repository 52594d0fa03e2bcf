package org.shallothook.state.route;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Scopes in which the teams of one configuration share the cached parts of their prompts.
 *
 * <p>An isolated team has a scope of its own. All other callers share one, which is named after the
 * set of the isolated teams. The names depend on nothing but the configuration, so that routers
 * that read it at different times, or start after it, use the same ones; and they change only if
 * that set does.
 *
 * <p>Invariant: no team of the set that a shared scope is named after makes or uses parts there.
 * What a team made before it became isolated thus lies in scopes that no configuration uses that
 * isolates it, however often it is freed and isolated again. Immutable and thread-safe.
 */
final class CacheScopes {
  /** Hexadecimal digits of a digest; 128 bits, so that none is guessed. */
  private static final int DIGEST_DIGITS = 32;

  /** Precedes a team's name. A shared scope never has it directly behind the model. */
  private static final String TEAM_MARK = "/";

  /** Precedes the digest of the isolated teams. */
  private static final String SET_MARK = "~";

  /** Precedes the digest of a request's identifier. */
  private static final String REQUEST_MARK = "#";

  private final Set<String> isolated;
  private final String sharedSuffix;

  CacheScopes(List<CallerTeam> teams) {
    this.isolated =
        teams.stream()
            .filter(CallerTeam::isIsolated)
            .map(CallerTeam::name)
            .collect(Collectors.toUnmodifiableSet());
    this.sharedSuffix = isolated.isEmpty() ? "" : SET_MARK + digestOf(textOf(isolated));
  }

  /**
   * Returns the scope of a prompt, without the version of the weights.
   *
   * @param model model that reads the prompt
   * @param team team of the caller, of an earlier configuration if this one does not have it: a
   *     request of a team that was isolated then stays isolated
   */
  String scopeOf(String model, Optional<CallerTeam> team) {
    return team.filter(caller -> caller.isIsolated() || isolated.contains(caller.name()))
        .map(caller -> model + TEAM_MARK + caller.name())
        .orElse(model + sharedSuffix);
  }

  /**
   * Returns a scope that a request shares with no other. It holds the team as well, as callers
   * choose the identifiers of their requests.
   *
   * @param request identifier that the caller gave to the request
   * @param team team of the caller
   */
  String scopeOfRequest(String request, Optional<CallerTeam> team) {
    return scopeOf("", team) + REQUEST_MARK + digestOf(request);
  }

  private static String textOf(Set<String> names) {
    // With their lengths, so that no two sets of names make the same text.
    return names.stream()
        .sorted()
        .map(name -> name.length() + ":" + name)
        .collect(Collectors.joining());
  }

  private static String digestOf(String text) {
    return Digests.hexOf(text).substring(0, DIGEST_DIGITS);
  }
}
