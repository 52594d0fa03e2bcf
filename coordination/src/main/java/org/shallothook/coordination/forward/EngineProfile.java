package org.shallothook.coordination.forward;

import java.util.Optional;
import org.shallothook.state.route.ServiceTraits.CacheStore;

/**
 * What placement has to know of a service's model servers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service name of the service
 * @param memoryTokens tokens that one server can hold; 0 where not known
 * @param fetchMicrosPerToken time to copy one cached token
 * @param store store of cached parts, if there is one
 */
record EngineProfile(
    String service, long memoryTokens, double fetchMicrosPerToken, Optional<CacheStore> store) {}
