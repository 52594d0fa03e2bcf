package org.shallothook.benchmarks.virtual;

import org.shallothook.state.request.AttemptId;

/**
 * One start of an attempt at an upstream.
 *
 * <p>Immutable and thread-safe.
 *
 * @param attempt the attempt
 * @param upstream name of the upstream
 * @param atMicros when it began
 */
public record Execution(AttemptId attempt, String upstream, long atMicros) {}
