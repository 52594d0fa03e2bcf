package org.shallothook.standins.service;

/**
 * Answer of a plain service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status HTTP status
 * @param body JSON body
 */
public record ServiceAnswer(int status, String body) {}
