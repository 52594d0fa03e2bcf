package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.shallothook.coordination.forward.WalledFleet.Place;

/** Parts are used across the wall in a drawn history that no written one has. */
final class IsolationHistoriesTest {
  private static final int SEEDS = Integer.getInteger("isolation.seeds", 60);
  private static final int STEPS = 120;
  private static final int ROUTERS = 3;
  private static final List<String> TEAMS = List.of("guild", "parish", "mill", "abbey");
  private static final List<String> REGISTERS = List.of("north", "south");
  private static final long LAST_EVENT = 3;

  /** More requests than the servers have slots. */
  private static final int FLOOD = 24;

  /** A request that has not ended. */
  private record OpenRequest(int router, long number) {}

  /** Draws steps and plays them. */
  private static final class History {
    private final SplittableRandom random;
    private final WalledFleet fleet;
    private final List<OpenRequest> open = new ArrayList<>();
    private final Set<String> removed = new HashSet<>();
    private int names;

    History(long seed) {
      random = new SplittableRandom(seed);
      fleet = new WalledFleet(draw(List.of(Place.values())), ROUTERS, Set.copyOf(TEAMS));
    }

    List<String> play() {
      for (int step = 0; step < STEPS; step++) {
        draw(List.of(Step.values())).play(this);
      }
      return fleet.crossings();
    }

    private <T> T draw(List<T> values) {
      return values.get(random.nextInt(values.size()));
    }

    private int drawRouter() {
      return random.nextInt(ROUTERS);
    }

    private Set<String> drawTeams() {
      Set<String> drawn = new HashSet<>(TEAMS);
      drawn.removeIf(team -> removed.contains(team) || random.nextInt(3) > 0);
      return drawn;
    }

    private void open(int router) {
      String team = draw(TEAMS);
      String register = draw(REGISTERS);
      long number =
          random.nextBoolean()
              ? fleet.open(router, team, register)
              : fleet.openResumable(router, team, register);
      open.add(new OpenRequest(router, number));
    }

    /** Returns a request that has been sent, if one is drawn. */
    private Optional<OpenRequest> drawSent() {
      if (open.isEmpty()) {
        return Optional.empty();
      }
      OpenRequest drawn = draw(open);
      return Optional.of(drawn).filter(request -> fleet.isSent(request.router, request.number));
    }
  }

  /** A step of a history. */
  private enum Step {
    OPEN {
      @Override
      void play(History history) {
        history.open(history.drawRouter());
      }
    },
    FLOOD_A_ROUTER {
      @Override
      void play(History history) {
        int router = history.drawRouter();
        for (int request = 0; request < FLOOD; request++) {
          history.open(router);
        }
      }
    },
    COMPLETE {
      @Override
      void play(History history) {
        history
            .drawSent()
            .ifPresent(
                request -> {
                  history.fleet.begin(request.router, request.number);
                  history.fleet.complete(request.router, request.number);
                  history.open.remove(request);
                });
      }
    },
    REJECT {
      @Override
      void play(History history) {
        history
            .drawSent()
            .ifPresent(
                request ->
                    history.fleet.happen(
                        request.router, harness -> harness.reject(request.number, 503)));
      }
    },
    BREAK {
      @Override
      void play(History history) {
        Optional<Long> lastEvent =
            history.random.nextBoolean() ? Optional.of(LAST_EVENT) : Optional.empty();
        history
            .drawSent()
            .ifPresent(
                request ->
                    history.fleet.happen(
                        request.router,
                        harness -> harness.breakConnection(request.number, lastEvent)));
      }
    },
    PASS_TIME {
      @Override
      void play(History history) {
        history.fleet.happen(
            history.drawRouter(),
            harness -> harness.advance(history.random.nextLong(ForwardHarness.SECOND)));
      }
    },
    ISOLATE {
      @Override
      void play(History history) {
        history.fleet.publish(history.drawTeams());
      }
    },
    RENAME {
      @Override
      void play(History history) {
        String team = history.draw(TEAMS);
        history.removed.remove(team);
        history.fleet.publishRenamed(team, team + history.names++, history.drawTeams());
      }
    },
    REMOVE {
      @Override
      void play(History history) {
        String team = history.draw(TEAMS);
        history.removed.add(team);
        history.fleet.publishWithout(team);
      }
    },
    READ {
      @Override
      void play(History history) {
        history.fleet.read(history.drawRouter());
      }
    },
    READ_EARLIER {
      @Override
      void play(History history) {
        history.fleet.readEarlier(history.drawRouter());
      }
    },
    RESTART {
      @Override
      void play(History history) {
        int router = history.drawRouter();
        history.fleet.restart(router);
        history.open.removeIf(request -> request.router == router);
      }
    };

    abstract void play(History history);
  }

  static LongStream seeds() {
    return LongStream.rangeClosed(1, SEEDS);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noPartIsUsedAcrossTheWallInAnyHistory(long seed) {
    assertWithMessage("seed %s", seed).that(new History(seed).play()).isEmpty();
  }
}
