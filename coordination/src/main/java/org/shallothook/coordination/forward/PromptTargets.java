package org.shallothook.coordination.forward;

import org.shallothook.state.route.Route;

/**
 * What the caller of a prompt expects of its response.
 *
 * <p>Immutable and thread-safe.
 *
 * @param priority priority of the prompt, 0 the highest
 * @param firstOutputMicros target for the time to the first output, in microseconds
 * @param gapMicros target for the longest gap in the stream, in microseconds
 */
record PromptTargets(int priority, long firstOutputMicros, long gapMicros) {

  static PromptTargets of(PendingRequest request) {
    Route route = request.route();
    return new PromptTargets(request.priority(), route.targetMicros(), route.gapTargetMicros());
  }
}
