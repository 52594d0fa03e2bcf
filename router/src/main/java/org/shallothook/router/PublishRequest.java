package org.shallothook.router;

/**
 * JSON request to publish or remove a template, sent to the admin port.
 *
 * <p>Immutable and thread-safe.
 *
 * @param change identifier of the change; a repeated request carries the same one
 * @param template name of the template
 * @param source INI text of the template; null to remove it
 * @param base offset up to which (exclusive) the operator had seen the configuration; null to use
 *     the offset that the router has read up to
 */
record PublishRequest(String change, String template, String source, Long base) {}
