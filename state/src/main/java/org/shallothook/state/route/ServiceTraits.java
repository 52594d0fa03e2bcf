package org.shallothook.state.route;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Settings that apply to all servers of a service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name name of the service
 * @param connectionLimit maximum number of connections that a server accepts from all callers
 *     together
 * @param engine settings of its model servers; empty for a plain service
 * @param cacheStore shared store of cached prompt parts that the service provides; empty for any
 *     other service
 */
public record ServiceTraits(
    String name,
    int connectionLimit,
    Optional<EngineTraits> engine,
    Optional<CacheStore> cacheStore) {

  /**
   * Settings of model servers. Immutable and thread-safe.
   *
   * @param slots number of requests that one server runs concurrently
   * @param cacheTokens cache capacity of one server in tokens, shared by running requests and
   *     cached prompt parts
   * @param fetchMicrosPerToken time to copy one cached token from another server nearby, in
   *     microseconds
   * @param models names of the models served
   */
  public record EngineTraits(
      int slots, long cacheTokens, double fetchMicrosPerToken, List<String> models) {
    public EngineTraits {
      models = List.copyOf(models);
    }
  }

  /**
   * A shared store of cached prompt parts. Immutable and thread-safe.
   *
   * @param address {@code IP:port} of the store
   * @param failureDomain failure domain of the store
   * @param cacheTokens capacity of the store in tokens
   */
  public record CacheStore(String address, String failureDomain, long cacheTokens) {}

  public ServiceTraits {
    Objects.requireNonNull(name, "name");
  }
}
