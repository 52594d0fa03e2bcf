package org.shallothook.coordination.warmup;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.shallothook.state.configuration.ConfigurationRecord;
import org.shallothook.state.configuration.ConfigurationRecordText;
import org.shallothook.state.configuration.ConfigurationState;
import org.shallothook.state.log.LogRecord;

/**
 * Tests the plans of several engines while many teams move one after the other. Guards against
 * hashing all prefixes again for every published change.
 */
final class WarmupPlanTest {
  private static final int TEAMS = 30;
  private static final Set<String> ENGINES = Set.of("engine-1", "engine-2", "engine-3");

  private final Map<String, Integer> counters = new HashMap<>();
  private final Map<String, WarmupPlan> plans = new HashMap<>();
  private ConfigurationState state = ConfigurationState.EMPTY;

  private List<TenantPrefix> plan(String engine) {
    return plans
        .computeIfAbsent(
            engine,
            self ->
                new WarmupPlan(self, 100, 4, name -> counters.merge(self + name, 1, Integer::sum)))
        .homePrefixes(state, ENGINES);
  }

  private void publish(int team, String version) {
    String name = "team-" + team;
    String source =
        "[team]\nname = "
            + name
            + "\nkey-sha256 = "
            + String.format("%064x", team)
            + "\nmodel = linen\nversion = "
            + version
            + "\n[rulebook]\ntext = "
            + (name + " ").repeat(100)
            + "\n";
    long base = state.version(name).map(known -> known.changedAt() + 1).orElse(0L);
    ConfigurationRecord change =
        new ConfigurationRecord.Change(
            "c" + state.offset(), Math.max(base, state.offset()), name, Optional.of(source));
    state =
        state.fold(new LogRecord(state.offset(), 0, ConfigurationRecordText.write(change))).state();
  }

  @Test
  void eachChangeIsHashedOnceAndEachPrefixHasOneHome() {
    for (int team = 0; team < TEAMS; team++) {
      publish(team, "v1");
    }
    for (int team = 0; team < TEAMS; team++) {
      publish(team, "v2");
      int planned = ENGINES.stream().mapToInt(engine -> plan(engine).size()).sum();
      assertThat(planned).isEqualTo(team + 1);
    }

    for (String engine : ENGINES) {
      assertThat(counters.get(engine + "openings.ranked")).isEqualTo(TEAMS);
    }
  }
}
