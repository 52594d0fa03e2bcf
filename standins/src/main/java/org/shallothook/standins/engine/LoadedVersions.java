package org.shallothook.standins.engine;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.membership.EngineRole;

/**
 * Model versions that an engine has loaded or is loading, its role, and the greatest fencing token
 * of the orders it has received.
 *
 * <p>Invariant: at most one version is being loaded. Not thread-safe.
 */
final class LoadedVersions {
  private final boolean checksFencing;
  private final Set<ModelVersion> loaded = new LinkedHashSet<>();
  private Optional<ModelVersion> loading = Optional.empty();
  private EngineRole role = EngineRole.MIXED;
  private long lastFencing;

  LoadedVersions(List<ModelVersion> initial, boolean checksFencing) {
    this.checksFencing = checksFencing;
    loaded.addAll(initial);
  }

  OrderResult load(long fencing, ModelVersion version) {
    if (isStale(fencing)) {
      return OrderResult.OLD_FENCING;
    }
    if (loaded.contains(version) || loading.equals(Optional.of(version))) {
      return OrderResult.TAKEN;
    }
    if (loading.isPresent()) {
      return OrderResult.BUSY;
    }
    loading = Optional.of(version);
    return OrderResult.FETCH_WEIGHTS;
  }

  OrderResult unload(long fencing, ModelVersion version) {
    if (isStale(fencing)) {
      return OrderResult.OLD_FENCING;
    }
    loaded.remove(version);
    return OrderResult.TAKEN;
  }

  OrderResult setRole(long fencing, EngineRole newRole) {
    if (isStale(fencing)) {
      return OrderResult.OLD_FENCING;
    }
    role = newRole;
    return OrderResult.TAKEN;
  }

  EngineRole role() {
    return role;
  }

  void finishLoad(ModelVersion version, boolean hasWeights) {
    if (!loading.equals(Optional.of(version))) {
      return;
    }
    loading = Optional.empty();
    if (hasWeights) {
      loaded.add(version);
    }
  }

  void abandonLoad() {
    loading = Optional.empty();
  }

  boolean isLoaded(ModelVersion version) {
    return loaded.contains(version);
  }

  List<ModelVersion> loaded() {
    return List.copyOf(loaded);
  }

  Optional<ModelVersion> loading() {
    return loading;
  }

  long lastFencing() {
    return checksFencing ? lastFencing : -1;
  }

  private boolean isStale(long fencing) {
    if (checksFencing && fencing < lastFencing) {
      return true;
    }
    lastFencing = Math.max(lastFencing, fencing);
    return false;
  }
}
