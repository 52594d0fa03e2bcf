package org.shallothook.benchmarks.virtual;

import java.util.Optional;

/**
 * What a caller asks of a plain service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key key of the team
 * @param service name of the service
 * @param path path below the service
 * @param idempotencyKey idempotency key, if sent
 * @param body body
 */
public record ServiceCall(
    String key, String service, String path, Optional<String> idempotencyKey, String body) {}
