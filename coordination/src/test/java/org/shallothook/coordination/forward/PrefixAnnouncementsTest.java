package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Load pattern: many prompts with new prefixes, which are announced to every other router. */
final class PrefixAnnouncementsTest {
  private static final int ROUTERS = 4;

  private final List<ForwardCommand> commands = new ArrayList<>();
  private final PrefixAnnouncements announcements = new PrefixAnnouncements(commands::add);

  @Test
  void prefixesAddedWithinAnIntervalAreAnnouncedTogetherAndOnce() {
    announcements.add("engine-1", List.of(1L, 2L));
    announcements.onTick(ROUTERS, 1);
    announcements.add("engine-1", List.of(3L));
    announcements.add("store", List.of(3L));
    announcements.add("engine-1", List.of(3L, 4L));
    announcements.onTick(ROUTERS, PrefixAnnouncements.INTERVAL_MICROS);
    assertThat(commands)
        .containsExactly(new ForwardCommand.AnnouncePrefixes("engine-1", List.of(1L, 2L)));

    announcements.onTick(ROUTERS, 1 + PrefixAnnouncements.INTERVAL_MICROS);
    announcements.onTick(ROUTERS, 1 + 3 * PrefixAnnouncements.INTERVAL_MICROS);
    assertThat(commands)
        .containsExactly(
            new ForwardCommand.AnnouncePrefixes("engine-1", List.of(1L, 2L)),
            new ForwardCommand.AnnouncePrefixes("engine-1", List.of(3L, 4L)),
            new ForwardCommand.AnnouncePrefixes("store", List.of(3L)))
        .inOrder();
  }

  /** Load pattern: a growing fleet in which every router always has new prefixes to announce. */
  @ParameterizedTest
  @ValueSource(ints = {4, 8, 20, 33, 380})
  void aRouterReceivesNoMoreRoundsInALargerFleet(int routers) {
    long second = 1_000_000;
    long seconds = 60;
    for (long now = 1; now <= seconds * second; now += ForwardCore.TICK_INTERVAL_MICROS) {
      announcements.add("engine-1", List.of(now));
      announcements.onTick(routers, now);
    }
    // The first round starts the interval, so it does not count.
    int laterRounds = commands.size() - 1;
    long roundsReceived = (routers - 1L) * laterRounds / seconds;
    assertThat(roundsReceived).isAtMost(second / PrefixAnnouncements.INTERVAL_PER_ROUTER_MICROS);
  }

  @Test
  void nothingIsAnnouncedWithoutNewPrefixes() {
    announcements.add("engine-1", List.of());
    announcements.onTick(ROUTERS, 1);
    assertThat(commands).isEmpty();
  }
}
