package org.shallothook.coordination.router;

import java.util.HashMap;
import java.util.Map;
import org.shallothook.coordination.membership.UpstreamDirectory;
import org.shallothook.coordination.port.Counters;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.TeamTemplate;

/**
 * Chooses the model version that a team's new requests run on while a new one is being loaded.
 *
 * <p>The version of the template is used as soon as any engine can serve it. Until then the version
 * that the team was last served with stays in use, if it is the same model.
 *
 * <p>Invariant: once a team was served with a version, it is not served with an earlier one of its
 * own again. Not thread-safe.
 */
final class ServedVersions {
  private final UpstreamDirectory directory;
  private final Counters counters;
  private final Map<String, ModelVersion> latest = new HashMap<>();

  ServedVersions(UpstreamDirectory directory, Counters counters) {
    this.directory = directory;
    this.counters = counters;
  }

  /** Returns the version for a new request of the team. */
  ModelVersion versionFor(TeamTemplate team, long nowMicros) {
    ModelVersion wanted = team.modelVersion();
    ModelVersion served = latest.get(team.name());
    if (wanted.equals(served)) {
      return wanted;
    }
    if (directory.hasReady(wanted, nowMicros)) {
      latest.put(team.name(), wanted);
      return wanted;
    }
    boolean isSameModel = served != null && served.model().equals(wanted.model());
    if (isSameModel && directory.hasReady(served, nowMicros)) {
      counters.increment("versions.earlier-served");
      return served;
    }
    return wanted;
  }
}
