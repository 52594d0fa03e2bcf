package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.forward.WalledFleet.Place;

/** Parts from before a team became isolated are used across the wall, or read again needlessly. */
final class IsolationWallTest {
  /** The team that becomes isolated. */
  private static final String TEAM = "guild";

  private static final String OTHER = "parish";
  private static final String REGISTER = "north";
  private static final int REGISTERS = 10;

  /** Parts that the prompts of a register share. */
  private static final int SHARED_PARTS = 2;

  /** Tokens of shared parts that were read again. */
  private record Readings(int byTheTeam, int byOthers) {}

  /** More requests than the servers have slots, all of which are occupied by then. */
  private static final int MAXIMUM_OPEN = 64;

  /**
   * What happens to two routers, step by step: {@code guild1} and {@code parish2} are requests of
   * these teams through the first and the second router. {@code isolate}, {@code free}, {@code
   * both} (teams are isolated), {@code turn} (the other team alone is), {@code rename} (the team is
   * isolated by another name), {@code remove} and {@code back} publish a configuration. {@code
   * read1} and {@code restart2} let a router know the newest, a restarted one without any other
   * knowledge, and {@code earlier1} the one before.
   */
  private enum History {
    OTHERS_USE_WHAT_THE_TEAM_MADE("guild1 isolate read1 read2 parish1 parish2"),
    THE_TEAM_USES_WHAT_OTHERS_MADE("parish1 isolate read1 read2 guild1 guild2"),
    ONE_ROUTER_LEARNS_LATE("guild1 isolate read1 guild2 parish1 guild1 read2 parish2 guild2"),
    ONE_ROUTER_LEARNS_LATE_WHAT_OTHERS_MADE(
        "parish1 isolate read1 parish2 guild1 parish1 read2 guild2 parish2"),
    A_ROUTER_RESTARTS("guild1 guild2 isolate read1 restart2 parish2 parish1 guild2"),
    A_ROUTER_RESTARTS_BESIDE_WHAT_OTHERS_MADE("parish1 isolate restart1 read2 guild1 guild2"),
    ALL_ROUTERS_RESTART("guild1 isolate restart1 restart2 parish1 guild1 parish2"),
    ISOLATED_FREED_AND_ISOLATED(
        "guild1 parish1 isolate read1 read2 guild1 parish2"
            + " free read1 read2 parish1 guild2 isolate read1 read2 parish1 guild1 parish2 guild2"),
    ISOLATED_FIRST_THEN_FREED_AND_ISOLATED(
        "isolate read1 read2 guild1 free read1 read2 guild1 isolate read1 read2 parish1 parish2"),
    THE_TEAM_USES_WHAT_OTHERS_MADE_WHILE_IT_WAS_FREE(
        "isolate read1 read2 guild1 free read1 read2 parish1 guild1"
            + " isolate read1 read2 guild1 guild2 parish1"),
    ONE_ROUTER_SEES_NOTHING_BETWEEN(
        "guild1 isolate read1 parish1 guild1 free read1 guild1 isolate read1 read2"
            + " parish2 guild2 parish1"),
    ONE_ROUTER_IS_ONE_STEP_BEHIND(
        "guild1 isolate read1 read2 guild1 free read1 guild1 parish2 isolate read1"
            + " parish1 guild2 read2 parish2 guild1"),
    A_ROUTER_RESTARTS_BETWEEN(
        "guild1 isolate read1 read2 guild2 free restart1 read2 guild1 parish1 isolate read2 restart1"
            + " parish1 parish2 guild1 guild2"),
    RENAMED_AND_ISOLATED("guild1 parish1 rename read1 guild1 read2 parish2 guild2 parish1"),
    ISOLATED_THEN_RENAMED(
        "guild1 isolate read1 read2 guild1 parish1 rename read1 guild1 parish2 read2 guild2 parish1"),
    REMOVED_AND_BACK(
        "guild1 isolate read1 read2 guild1 parish2 remove read1 parish1 read2 parish2"
            + " back read1 guild1 parish1 read2 guild2 parish2"),
    KNOWN_TO_ONE_ROUTER(
        "guild1 remove read1 read2 parish1 parish2 back read1 guild1 parish1 parish2"
            + " guild1 read2 guild2 parish2"),
    ISOLATED_IN_TURN(
        "guild1 parish1 isolate read1 read2 guild1 parish2 mill1 turn read1 parish1 guild1 mill1"
            + " guild2 parish2 mill2 read2 parish2 guild1 mill2"),
    TWO_TEAMS_BY_TWO_VERSIONS_IN_ANY_ORDER(
        "guild1 parish1 mill1 isolate both earlier1 read2 guild1 parish1 mill1 parish2 mill2 guild2"
            + " read1 earlier2 parish1 guild1 mill1 mill2 parish2"),
    TWO_TEAMS_ONE_FREED(
        "guild1 both read1 read2 guild1 parish1 mill2 turn read1 guild1 mill1 parish2 restart2"
            + " guild2 mill2 parish1");

    private final String steps;

    History(String steps) {
      this.steps = steps;
    }

    WalledFleet play(Place place) {
      WalledFleet fleet = new WalledFleet(place, 2, Set.of(TEAM, OTHER, "mill"));
      for (String step : steps.split(" ", -1)) {
        int router = Character.digit(step.charAt(step.length() - 1), 10) - 1;
        String action = router < 0 ? step : step.substring(0, step.length() - 1);
        switch (action) {
          case "isolate" -> fleet.publish(Set.of(TEAM));
          case "free" -> fleet.publish(Set.of());
          case "both" -> fleet.publish(Set.of(TEAM, OTHER));
          case "turn" -> fleet.publish(Set.of(OTHER));
          case "rename" -> fleet.publishRenamed(TEAM, "abbey", Set.of(TEAM));
          case "remove" -> fleet.publishWithout(TEAM);
          case "back" -> fleet.publishRenamed(TEAM, TEAM, Set.of(TEAM));
          case "read" -> fleet.read(router);
          case "earlier" -> fleet.readEarlier(router);
          case "restart" -> fleet.restart(router);
          default -> fleet.ask(router, action, REGISTER);
        }
      }
      return fleet;
    }
  }

  static Stream<Arguments> histories() {
    return Stream.of(History.values())
        .flatMap(history -> Stream.of(Place.values()).map(place -> Arguments.of(history, place)));
  }

  @ParameterizedTest
  @MethodSource("histories")
  void noPartIsUsedAcrossTheWall(History history, Place place) {
    assertThat(history.play(place).crossings()).isEmpty();
  }

  @ParameterizedTest
  @EnumSource
  void teamsThatAreNotIsolatedUsePartsOfEachOther(Place place) {
    WalledFleet fleet = new WalledFleet(place, 2, Set.of(TEAM, OTHER));
    fleet.ask(0, TEAM, REGISTER);
    fleet.ask(1, OTHER, REGISTER);
    assertThat(fleet.used()).isEqualTo(SHARED_PARTS);
  }

  @ParameterizedTest
  @ValueSource(strings = {TEAM, OTHER})
  void aRequestThatWaitsSinceBeforeTheChangeUsesNoPartAcrossTheWall(String team) {
    WalledFleet fleet = new WalledFleet(Place.COPY_OF_ANOTHER_SERVER, 1, Set.of(TEAM, OTHER));
    fleet.ask(0, team.equals(TEAM) ? OTHER : TEAM, REGISTER);
    sendAfter(fleet, team, () -> fleet.publish(Set.of(TEAM)));
    assertThat(fleet.crossings()).isEmpty();
  }

  /**
   * A waiting request made parts in the scope of all others, in a name that its team had before it
   * was renamed and isolated.
   */
  @Test
  void aRequestThatWaitsWhileItsTeamIsRenamedIsSentInTheNewName() {
    WalledFleet fleet = new WalledFleet(Place.COPY_OF_ANOTHER_SERVER, 1, Set.of(TEAM, OTHER));
    long waiting = sendAfter(fleet, TEAM, () -> fleet.publishRenamed(TEAM, "abbey", Set.of(TEAM)));
    String name = fleet.dispatch(0, waiting).team().orElseThrow();
    fleet.begin(0, waiting);
    fleet.complete(0, waiting);
    fleet.ask(0, OTHER, REGISTER);
    assertThat(fleet.crossings()).isEmpty();
    assertThat(name).isEqualTo("abbey");
  }

  /** A key that was removed while its request waited leaves the request its team. */
  @Test
  void aRequestThatWaitsWhileItsTeamIsRemovedKeepsItsTeam() {
    WalledFleet fleet = new WalledFleet(Place.COPY_OF_ANOTHER_SERVER, 1, Set.of(TEAM, OTHER));
    long waiting = sendAfter(fleet, TEAM, () -> fleet.publishWithout(TEAM));
    assertThat(fleet.dispatch(0, waiting).team()).hasValue(TEAM);
  }

  /**
   * Opens a request while all slots are occupied, and frees one after a change of the configuration
   * has been read.
   */
  private static long sendAfter(WalledFleet fleet, String team, Runnable change) {
    List<Long> running = new ArrayList<>();
    long waiting = fleet.open(0, team, REGISTER);
    while (fleet.isSent(0, waiting) && running.size() < MAXIMUM_OPEN) {
      fleet.begin(0, waiting);
      running.add(waiting);
      waiting = fleet.open(0, team, REGISTER);
    }
    assertThat(fleet.isSent(0, waiting)).isFalse();
    change.run();
    fleet.read(0);
    fleet.complete(0, running.get(0));
    assertThat(fleet.isSent(0, waiting)).isTrue();
    return waiting;
  }

  /**
   * The tokens of shared parts that are read again after the last of some configurations, each of
   * which names the isolated teams; prompts have a part that all share, and ten others.
   */
  @ParameterizedTest
  @CsvSource({
    "none none, guild, 0, 0",
    "guild guild, guild, 0, 0",
    "none guild, guild, 33000, 33000",
    "guild guild+mill, mill, 33000, 33000",
    "guild none, guild, 0, 33000",
    "none guild none, guild, 0, 0",
    "none guild none guild, guild, 0, 0",
  })
  void sharedPartsAreReadAgainOnceForEachNewSetOfIsolatedTeams(
      String configurations, String team, int teamTokens, int otherTokens) {
    Set<String> teams = new TreeSet<>(Set.of(TEAM, OTHER, "mill", "abbey"));
    WalledFleet fleet = new WalledFleet(Place.COPY_OF_ANOTHER_SERVER, 2, teams);
    Readings last = new Readings(0, 0);
    for (String isolated : configurations.split(" ", -1)) {
      fleet.publish(
          isolated.equals("none")
              ? Set.of()
              : Set.copyOf(Arrays.asList(isolated.split("\\+", -1))));
      fleet.read(0);
      fleet.read(1);
      last = askAll(fleet, teams, team);
    }
    assertThat(last).isEqualTo(new Readings(teamTokens, otherTokens));
    assertWithMessage("in the next round")
        .that(askAll(fleet, teams, team))
        .isEqualTo(new Readings(0, 0));
    assertThat(fleet.crossings()).isEmpty();
  }

  /** Lets each team send a request for each register, the others first. */
  private static Readings askAll(WalledFleet fleet, Set<String> teams, String team) {
    List<String> order = new ArrayList<>(teams);
    order.remove(team);
    order.add(team);
    int before = teams.stream().mapToInt(fleet::readAgainTokens).sum();
    int beforeByTeam = fleet.readAgainTokens(team);
    for (String asking : order) {
      for (int register = 0; register < REGISTERS; register++) {
        fleet.ask(register % 2, asking, "register-" + register);
      }
    }
    int all = teams.stream().mapToInt(fleet::readAgainTokens).sum() - before;
    int byTeam = fleet.readAgainTokens(team) - beforeByTeam;
    return new Readings(byTeam, all - byTeam);
  }
}
