package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Load pattern: many prompts with new openings, of which every other router is told. */
final class OpeningAnnouncementsTest {
  private final List<ForwardCommand> commands = new ArrayList<>();
  private final OpeningAnnouncements announcements = new OpeningAnnouncements(commands::add);

  @Test
  void whatComesUpWithinAnIntervalGoesOutTogetherAndOnce() {
    announcements.add("engine-1", List.of(1L, 2L));
    announcements.onTick(1);
    announcements.add("engine-1", List.of(3L));
    announcements.add("store", List.of(3L));
    announcements.add("engine-1", List.of(3L, 4L));
    announcements.onTick(OpeningAnnouncements.INTERVAL_MICROS);
    assertThat(commands)
        .containsExactly(new ForwardCommand.TellOpenings("engine-1", List.of(1L, 2L)));

    announcements.onTick(1 + OpeningAnnouncements.INTERVAL_MICROS);
    announcements.onTick(1 + 3 * OpeningAnnouncements.INTERVAL_MICROS);
    assertThat(commands)
        .containsExactly(
            new ForwardCommand.TellOpenings("engine-1", List.of(1L, 2L)),
            new ForwardCommand.TellOpenings("engine-1", List.of(3L, 4L)),
            new ForwardCommand.TellOpenings("store", List.of(3L)))
        .inOrder();
  }

  @Test
  void nothingIsToldWhereNothingIsNew() {
    announcements.add("engine-1", List.of());
    announcements.onTick(1);
    assertThat(commands).isEmpty();
  }
}
