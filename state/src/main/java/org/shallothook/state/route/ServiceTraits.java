package org.shallothook.state.route;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * What is configured for all servers of a service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name name of the service
 * @param connectionLimit connections that a server accepts from all callers together
 * @param engine traits of its model servers; empty for a plain service
 * @param cacheStore the service as a shared store of cached parts; empty for any other
 */
public record ServiceTraits(
    String name,
    int connectionLimit,
    Optional<EngineTraits> engine,
    Optional<CacheStore> cacheStore) {

  /**
   * Traits of model servers. Immutable and thread-safe.
   *
   * @param slots requests that one server runs at once
   * @param cacheTokens tokens that running requests and cached parts of one server share
   * @param fetchMicrosPerToken time to copy one cached token from another server nearby
   * @param models names of the models served
   */
  public record EngineTraits(
      int slots, long cacheTokens, double fetchMicrosPerToken, List<String> models) {
    public EngineTraits {
      models = List.copyOf(models);
    }
  }

  /**
   * A shared store of cached parts. Immutable and thread-safe.
   *
   * @param address {@code IP:port} of the store
   * @param failureDomain failure domain that it stands in
   * @param cacheTokens tokens that it can hold
   */
  public record CacheStore(String address, String failureDomain, long cacheTokens) {}

  public ServiceTraits {
    Objects.requireNonNull(name, "name");
  }
}
