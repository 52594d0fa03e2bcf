package org.shallothook.coordination.port;

/**
 * An input event for the decision thread of a process.
 *
 * <p>All events are immutable and thread-safe.
 */
public interface CoreEvent {}
