package org.shallothook.coordination.sidecar;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.shallothook.coordination.engine.EngineMonitor;
import org.shallothook.coordination.warmup.PrefixWarmer;
import org.shallothook.state.cache.ModelVersion;

/**
 * Tracks the model versions with which this engine may serve requests, and since when.
 *
 * <p>Invariant: a version that the engine has loaded counts as ready from when it is no longer
 * withheld to compute its prefixes. Not thread-safe: used on the decision thread.
 */
final class ReadyVersions {
  private static final Comparator<ModelVersion> ORDER =
      Comparator.comparing(ModelVersion::model)
          .thenComparing(ModelVersion::version)
          .thenComparing(ModelVersion::adapter);

  private final EngineMonitor engine;
  private final PrefixWarmer warmer;
  private final Map<ModelVersion, Long> sinceMicros = new TreeMap<>(ORDER);

  ReadyVersions(EngineMonitor engine, PrefixWarmer warmer) {
    this.engine = engine;
    this.warmer = warmer;
  }

  /** Updates and returns the ready versions, in a fixed order. */
  List<ModelVersion> update(long nowMicros) {
    sinceMicros
        .keySet()
        .removeIf(
            version -> !engine.ready().contains(version) || warmer.isWithheld(version, nowMicros));
    for (ModelVersion version : engine.ready()) {
      if (!warmer.isWithheld(version, nowMicros)) {
        sinceMicros.putIfAbsent(version, nowMicros);
      }
    }
    return List.copyOf(sinceMicros.keySet());
  }

  /**
   * Returns since when each version last returned by {@link #update} has been ready, in the same
   * order and in microseconds since the epoch.
   */
  List<Long> sinceMicros() {
    return List.copyOf(sinceMicros.values());
  }
}
