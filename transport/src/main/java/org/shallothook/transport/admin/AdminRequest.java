package org.shallothook.transport.admin;

import java.util.Optional;

/**
 * Request to the admin port.
 *
 * <p>Immutable and thread-safe.
 *
 * @param path path relative to the handler's path, without a leading slash; may be empty
 * @param query query string without the question mark; may be empty
 * @param accept value of the Accept header, if present
 * @param body body as UTF-8 text; may be empty
 */
public record AdminRequest(String path, String query, Optional<String> accept, String body) {}
