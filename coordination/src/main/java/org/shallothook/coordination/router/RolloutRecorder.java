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
 * Tells the log when a new model version is loaded wherever earlier ones were served, so that no
 * router falls back on them any more.
 *
 * <p>Any router may write the record, and a repeat has no effect. Routers take turns by name, so
 * that hundreds of them write one record and not a hundred.
 *
 * <p>Invariant: at most one record in {@link #READ_BACK_TIMEOUT_MICROS} for each version. Not
 * thread-safe: used on the decision thread.
 */
final class RolloutRecorder {
  /** Time for which a version must have been in use everywhere, in microseconds. */
  static final long STABLE_MICROS = 5_000_000;

  /** Time given to a record to be read back, in microseconds. */
  static final long READ_BACK_TIMEOUT_MICROS = 30_000_000;

  /** Time for which a router waits for each router that goes before it, in microseconds. */
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

  /** Writes what is due. To be called only while the configuration is not behind. */
  void onTick(ConfigurationState configuration, long nowMicros) {
    if (nowMicros < nextCheckMicros) {
      return;
    }
    nextCheckMicros = nowMicros + CHECK_INTERVAL_MICROS;
    Map<ModelVersion, Set<ModelVersion>> rolling = rolloutsOf(configuration);
    dueMicros.keySet().retainAll(rolling.keySet());
    rolling.forEach(
        (version, earlier) -> {
          boolean isEverywhere =
              directory.isReadyEverywhere(version, List.copyOf(earlier), nowMicros);
          if (isEverywhere) {
            appendIfDue(version, configuration.offset(), nowMicros);
          } else {
            dueMicros.remove(version);
          }
        });
  }

  private static Map<ModelVersion, Set<ModelVersion>> rolloutsOf(ConfigurationState configuration) {
    Map<ModelVersion, Set<ModelVersion>> rolling = new HashMap<>();
    new TreeMap<>(configuration.allTeams())
        .forEach(
            (name, team) -> {
              List<ModelVersion> earlier = configuration.earlierVersions(name);
              if (!earlier.isEmpty()) {
                rolling
                    .computeIfAbsent(team.modelVersion(), version -> new HashSet<>())
                    .addAll(earlier);
              }
            });
    return rolling;
  }

  /** Returns how many routers of the list go before this one. */
  private long precedingRouters() {
    return directory.routers().stream().filter(router -> router.name().compareTo(self) < 0).count();
  }

  private void appendIfDue(ModelVersion version, long base, long nowMicros) {
    long due =
        dueMicros.computeIfAbsent(
            version,
            one ->
                nowMicros
                    + ServedVersions.MIGRATION_MICROS
                    + STABLE_MICROS
                    + precedingRouters() * STAGGER_MICROS);
    if (nowMicros < due) {
      return;
    }
    dueMicros.put(version, nowMicros + READ_BACK_TIMEOUT_MICROS);
    counters.increment("versions.rolled-out");
    ConfigurationRecord record = new ConfigurationRecord.RolledOut(base, version);
    outbox.appendLog(
        AppendKind.CONFIGURATION,
        ConfigurationReplica.STREAM,
        ConfigurationRecordText.write(record));
  }
}
