package org.shallothook.coordination.router;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.shallothook.coordination.configuration.ConfigurationReplica;
import org.shallothook.coordination.membership.UpstreamDirectory;
import org.shallothook.coordination.port.AppendKind;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.Outbox;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.ConfigurationRecord;
import org.shallothook.state.configuration.ConfigurationRecordText;
import org.shallothook.state.configuration.ConfigurationState;

/**
 * Records in the log that a new model version is loaded on every server that served earlier
 * versions, so that no router falls back to the earlier ones again.
 *
 * <p>Any router may append the record, and a repeated record has no effect. Routers wait for
 * staggered delays in the order of their names, so that a fleet of hundreds normally appends one
 * record rather than hundreds.
 *
 * <p>Invariant: appends at most one record per {@link #READ_BACK_TIMEOUT_MICROS} for each version.
 * Not thread-safe: used on the decision thread.
 */
final class RolloutRecorder {
  /**
   * Time for which a version must have been in use on every server before it is recorded, in
   * microseconds.
   */
  static final long STABLE_MICROS = 5_000_000;

  /**
   * Time to wait for an appended record to be read back before appending it again, in microseconds.
   */
  static final long READ_BACK_TIMEOUT_MICROS = 30_000_000;

  /** Delay that a router adds for each router whose name precedes its own, in microseconds. */
  static final long STAGGER_MICROS = 2_000_000;

  private static final long CHECK_INTERVAL_MICROS = 1_000_000;

  private final String self;
  private final Outbox outbox;
  private final UpstreamDirectory directory;
  private final Counters counters;
  private final Map<ModelVersion, Long> dueMicros = new HashMap<>();
  private long nextCheckMicros;

  RolloutRecorder(String self, Outbox outbox, UpstreamDirectory directory, Counters counters) {
    this.self = self;
    this.outbox = outbox;
    this.directory = directory;
    this.counters = counters;
  }

  /**
   * Appends the records that are due. Must be called only while the configuration is up to date.
   */
  void onTick(ConfigurationState configuration, long nowMicros) {
    if (nowMicros < nextCheckMicros) {
      return;
    }
    nextCheckMicros = nowMicros + CHECK_INTERVAL_MICROS;
    Map<ModelVersion, Set<ModelVersion>> rollouts = rolloutsOf(configuration);
    dueMicros.keySet().retainAll(rollouts.keySet());
    rollouts.forEach(
        (version, earlier) -> {
          boolean isReady = directory.isReadyEverywhere(version, List.copyOf(earlier), nowMicros);
          if (isReady) {
            appendIfDue(version, configuration.offset(), nowMicros);
          } else {
            dueMicros.remove(version);
          }
        });
  }

  private static Map<ModelVersion, Set<ModelVersion>> rolloutsOf(ConfigurationState configuration) {
    Map<ModelVersion, Set<ModelVersion>> rollouts = new HashMap<>();
    new TreeMap<>(configuration.allTeams())
        .forEach(
            (name, team) -> {
              List<ModelVersion> earlier = configuration.earlierVersions(name);
              if (!earlier.isEmpty()) {
                rollouts
                    .computeIfAbsent(team.modelVersion(), version -> new HashSet<>())
                    .addAll(earlier);
              }
            });
    return rollouts;
  }

  /** Returns the number of listed routers whose names precede this router's. */
  private long precedingRouters() {
    return directory.routers().stream().filter(router -> router.name().compareTo(self) < 0).count();
  }

  private void appendIfDue(ModelVersion version, long baseOffset, long nowMicros) {
    long due =
        dueMicros.computeIfAbsent(
            version,
            key ->
                nowMicros
                    + ServedVersions.MIGRATION_MICROS
                    + STABLE_MICROS
                    + precedingRouters() * STAGGER_MICROS);
    if (nowMicros < due) {
      return;
    }
    dueMicros.put(version, nowMicros + READ_BACK_TIMEOUT_MICROS);
    counters.increment("versions.rolled-out");
    ConfigurationRecord record = new ConfigurationRecord.RolledOut(baseOffset, version);
    outbox.appendLog(
        AppendKind.CONFIGURATION,
        ConfigurationReplica.STREAM,
        ConfigurationRecordText.write(record));
  }
}
