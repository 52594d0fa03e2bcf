package org.shallothook.coordination.sidecar;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.shallothook.coordination.engine.EngineMonitor;
import org.shallothook.coordination.warmup.PrefixWarmer;
import org.shallothook.state.cache.ModelVersion;

/**
 * Model versions that callers may be served with here, and since when.
 *
 * <p>Invariant: a version that the engine has loaded counts from when its openings are computed or
 * no longer waited for. Not thread-safe: used on the decision thread.
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

  /** Returns the versions in a fixed order. */
  List<ModelVersion> at(long nowMicros) {
    sinceMicros
        .keySet()
        .removeIf(one -> !engine.ready().contains(one) || warmer.isWithheld(one, nowMicros));
    for (ModelVersion version : engine.ready()) {
      if (!warmer.isWithheld(version, nowMicros)) {
        sinceMicros.putIfAbsent(version, nowMicros);
      }
    }
    return List.copyOf(sinceMicros.keySet());
  }

  /** Returns since when each of the versions returned last can serve, in their order. */
  List<Long> sinceMicros() {
    return List.copyOf(sinceMicros.values());
  }
}
