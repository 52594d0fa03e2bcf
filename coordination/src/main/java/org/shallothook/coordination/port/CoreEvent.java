package org.shallothook.coordination.port;

/**
 * Something that the decision thread of a process reacts to.
 *
 * <p>All events are immutable and thread-safe.
 */
public interface CoreEvent {}
