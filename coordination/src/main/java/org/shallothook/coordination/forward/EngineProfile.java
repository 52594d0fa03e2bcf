package org.shallothook.coordination.forward;

import java.util.Optional;
import org.shallothook.state.route.ServiceTraits.CacheStore;

/**
 * Properties of a service's model servers that placement depends on.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service name of the service
 * @param memoryTokens tokens that the cache of one server can hold; 0 if unknown
 * @param fetchMicrosPerToken time to copy one cached token from another server, in microseconds
 * @param store shared store of cached prompt parts, if there is one
 */
record EngineProfile(
    String service, long memoryTokens, double fetchMicrosPerToken, Optional<CacheStore> store) {}
