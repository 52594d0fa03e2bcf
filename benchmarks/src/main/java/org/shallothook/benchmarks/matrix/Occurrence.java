package org.shallothook.benchmarks.matrix;

/**
 * An event that a router or sidecar handles, or a command that it issues.
 *
 * <p>Immutable and thread-safe.
 *
 * @param process name of the router or sidecar
 * @param isRouter whether the process is a router
 * @param subject the event or command
 */
record Occurrence(String process, boolean isRouter, Object subject) {}
