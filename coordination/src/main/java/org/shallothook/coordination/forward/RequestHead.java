package org.shallothook.coordination.forward;

import java.util.Objects;
import java.util.Optional;
import org.shallothook.state.route.PromptOutline;

/**
 * What decisions need to know of a caller's request; its bytes stay with the transport.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the caller's name for this attempt
 * @param host host that the caller named
 * @param target path and query
 * @param key key that the caller presented
 * @param callerDeadlineMicros when the caller stops waiting, on the decision clock
 * @param prompt what the request says of its prompt
 * @param resumesAfter last event that the caller already has of this stream
 * @param contentHash hash of method, target, key and body, the same for a repeat of the request
 */
public record RequestHead(
    String id,
    String host,
    String target,
    Optional<String> key,
    Optional<Long> callerDeadlineMicros,
    Optional<PromptOutline> prompt,
    Optional<Long> resumesAfter,
    long contentHash) {
  public RequestHead {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(target, "target");
  }
}
