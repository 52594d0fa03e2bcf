package org.shallothook.benchmarks.matrix;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothook.benchmarks.virtual.ChatCall;
import org.shallothook.benchmarks.virtual.ServiceCall;
import org.shallothook.benchmarks.virtual.TeamSpec;
import org.shallothook.coordination.router.ChatMessage;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.PriorityClass;

/**
 * The teams of a scenario and the requests that they send.
 *
 * <p>Stateless and thread-safe.
 */
final class ScenarioTeams {
  static final String SERVICE = "booking";

  private static final String TEXT = "one two three four five six seven eight nine ten ";

  static final TeamSpec ORDINARY = team("guild", PriorityClass.ORDINARY);
  static final TeamSpec URGENT = team("desk", PriorityClass.PRIORITY);

  private ScenarioTeams() {}

  static ChatCall chatOf(TeamSpec team, String question) {
    return ChatCall.of(
        team.key(),
        team.modelVersion().model(),
        Optional.of("register"),
        List.of(new ChatMessage("user", question)));
  }

  static ServiceCall bookingOf(String key) {
    return new ServiceCall(ORDINARY.key(), SERVICE, "bookings", Optional.of(key), "{}");
  }

  static ModelVersion version(String version) {
    return ModelVersion.of("linen", version);
  }

  private static TeamSpec team(String name, PriorityClass priority) {
    return new TeamSpec(
        name,
        version("v1"),
        priority,
        TEXT.repeat(200),
        Map.of("register", TEXT.repeat(100)),
        SERVICE,
        true);
  }
}
