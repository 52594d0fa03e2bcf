package org.shallothook.standins.service;

/**
 * Response of a plain service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status HTTP status code
 * @param body JSON response body
 */
public record ServiceResponse(int status, String body) {}
