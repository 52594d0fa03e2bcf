package org.shallothook.state.route;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RouteTableTest {
  private final RouteTable table =
      new RouteTable(
          7,
          List.of(route("short", "/a/"), route("long", "/a/b/")),
          List.of(),
          Optional.of(
              List.of(
                  new CallerTeam(
                      "parish", List.of("key-1"), Optional.empty(), false, Optional.empty()))),
          CallerLimits.DEFAULT);

  private static Route route(String name, String prefix) {
    return new Route(
        name,
        "linen.example",
        prefix,
        CallKind.SAFE,
        1,
        1,
        1,
        0,
        List.of(new Route.Destination("one", 1), new Route.Destination("two", 3)),
        1,
        false,
        false,
        false);
  }

  @ParameterizedTest
  @CsvSource({
    "linen.example, /a/x, short",
    "linen.example, /a/b/x?y=/z/, long",
    "LINEN.example:80, /a/b/, long",
    "linen.example, /a/b, short",
    "linen.example, /a, ",
    "linen.example, /b/?/a/, ",
    "other.example, /a/x, ",
  })
  void longestMatchingPathPrefixWins(String host, String target, String expected) {
    assertThat(table.match(host, target).map(Route::name)).isEqualTo(Optional.ofNullable(expected));
  }

  @Test
  void keyIdentifiesItsTeam() {
    assertThat(table.teamOf("key-1").map(CallerTeam::name)).hasValue("parish");
    assertThat(table.teamOf("key-2")).isEmpty();
  }

  /** The shared scope tells two sets of isolated teams apart, and nothing else. */
  @ParameterizedTest
  @CsvSource({
    "'', '', true",
    "a b, b a, true",
    "a, '', false",
    "a, b, false",
    "a, a b, false",
    "ab, a b, false",
    "1:a, a, false",
    "a1:b, a b, false",
  })
  void theSharedScopeIsNamedAfterTheIsolatedTeams(String one, String other, boolean isSame) {
    String scope = withIsolated(7, one).cacheScope("model", Optional.empty());
    assertThat(withIsolated(8, other).cacheScope("model", Optional.empty()).equals(scope))
        .isEqualTo(isSame);
  }

  @Test
  void aTeamThatWasIsolatedWhenItsRequestCameHasItsOwnScope() {
    Optional<CallerTeam> caller = Optional.of(team("a", true));
    assertThat(withIsolated(8, "").cacheScope("model", caller)).isEqualTo("model/a");
  }

  @Test
  void aTeamThatBecameIsolatedSinceItsRequestCameHasItsOwnScope() {
    Optional<CallerTeam> caller = Optional.of(team("a", false));
    assertThat(withIsolated(8, "a").cacheScope("model", caller)).isEqualTo("model/a");
  }

  /** Requests of two teams share a scope although both are isolated. */
  @ParameterizedTest
  @CsvSource({"a, x, a, y", "a, x, b, x", "a, x#y, a#x, y", "a, x/1, a/x, 1"})
  void requestsThatShareNoPartsHaveScopesOfTheirOwn(
      String one, String request, String other, String otherRequest) {
    RouteTable table = withIsolated(7, one + " " + other);
    assertThat(table.unsharedCacheScope("engines", request, Optional.of(team(one, true))))
        .isNotEqualTo(
            table.unsharedCacheScope("engines", otherRequest, Optional.of(team(other, true))));
  }

  private static RouteTable withIsolated(long version, String names) {
    List<CallerTeam> teams =
        Stream.of(names.split(" ", -1))
            .filter(name -> !name.isEmpty())
            .map(name -> team(name, true))
            .toList();
    return new RouteTable(version, List.of(), List.of(), Optional.of(teams), CallerLimits.DEFAULT);
  }

  private static CallerTeam team(String name, boolean isIsolated) {
    return new CallerTeam(
        name, List.of("key-" + name), Optional.empty(), isIsolated, Optional.empty());
  }

  @Test
  void requestsAreDistributedByWeight() {
    Route route = route("short", "/a/");
    assertThat(
            List.of(
                route.serviceFor(0),
                route.serviceFor(1),
                route.serviceFor(2),
                route.serviceFor(3),
                route.serviceFor(-1)))
        .containsExactly("one", "two", "two", "two", "two")
        .inOrder();
  }

  @Test
  void pathPrefixWithoutTrailingSlashIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> route("bad", "/a"));
  }
}
