package org.shallothook.state.cache;

import java.util.Objects;

/**
 * Scope within which cached blocks may be reused.
 *
 * <p>Blocks of different identities are never shared, even if their texts are equal.
 *
 * <p>Invariant: no component is null. Immutable and thread-safe.
 *
 * @param team name of the team that owns the blocks
 * @param modelVersion weights and adapter that computed the blocks
 */
public record CacheIdentity(String team, ModelVersion modelVersion) {
  public CacheIdentity {
    Objects.requireNonNull(team, "team");
    Objects.requireNonNull(modelVersion, "modelVersion");
  }
}
