package org.shallothook.transport.admin;

import java.util.Optional;

/**
 * Request to the admin port.
 *
 * <p>Immutable and thread-safe.
 *
 * @param path path below the handler's own, without a leading slash; may be empty
 * @param query query without its question mark; may be empty
 * @param accept value of the Accept header
 * @param body body as text; may be empty
 */
public record AdminRequest(String path, String query, Optional<String> accept, String body) {}
