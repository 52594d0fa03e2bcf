package org.shallothook.router;

/**
 * Form of an order to publish, as sent to the admin port.
 *
 * <p>Immutable and thread-safe.
 *
 * @param change identifier of the change; the same for a repeat
 * @param template name of the template
 * @param source INI text of the template; null to remove it
 * @param base offset below which the operator knew the configuration; null for the router's own
 */
record PublishForm(String change, String template, String source, Long base) {}
