package org.shallothook.benchmarks.matrix;

import org.shallothook.benchmarks.virtual.VirtualFleet;
import org.shallothook.state.configuration.ConfigurationState;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.log.LogRecord;

/**
 * Reads the configuration stored in the log directly, independent of what processes have read.
 *
 * <p>Stateless and thread-safe.
 */
final class ScenarioLog {
  private static final String CONFIGURATION = "configuration";

  private ScenarioLog() {}

  /**
   * Returns the configuration state, folded from all records of the log. Clears the faults injected
   * into the log, so that it can be read.
   */
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
