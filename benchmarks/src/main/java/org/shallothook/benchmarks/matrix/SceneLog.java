package org.shallothook.benchmarks.matrix;

import org.shallothook.benchmarks.virtual.VirtualFleet;
import org.shallothook.state.configuration.ConfigurationState;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.log.LogRecord;

/**
 * What the log of a scene holds, whatever processes have read of it.
 *
 * <p>Stateless and thread-safe.
 */
final class SceneLog {
  private static final String CONFIGURATION = "configuration";

  private SceneLog() {}

  /** Returns the configuration that the log holds, by folding it anew; ends its disturbances. */
  static ConfigurationState state(VirtualFleet fleet) {
    fleet.platform().log().disturbances().clear();
    ConfigurationState state = ConfigurationState.EMPTY;
    LogPage page =
        fleet
            .platform()
            .log()
            .read(CONFIGURATION, 0, Integer.MAX_VALUE, fleet.nowMicros())
            .orElseThrow();
    for (LogRecord record : page.records()) {
      state = state.fold(record).state();
    }
    return state;
  }
}
