package org.shallothook.coordination.forward;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.coordination.quarantine.RequestSignature;
import org.shallothook.state.route.PromptOutline;

/**
 * Properties of a caller's request that decisions depend on; the transport keeps its bytes.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id identifier that the caller gave to this attempt
 * @param host host from the request
 * @param target path and query of the request
 * @param key API key that the caller presented
 * @param callerDeadlineMicros when the caller stops waiting, on the decision clock in microseconds
 * @param prompt description of the prompt in the request, if any
 * @param resumesAfter number of the last event of this stream that the caller already has
 * @param resumedRequest identifier of the caller's attempt that brought the first event of the
 *     stream to be resumed
 * @param tokens what the request states about its tokens
 * @param contentHash hash of method, target, key and body; equal when a request is repeated
 */
public record RequestHead(
    String id,
    String host,
    String target,
    Optional<String> key,
    Optional<Long> callerDeadlineMicros,
    Optional<PromptOutline> prompt,
    Optional<Long> resumesAfter,
    Optional<String> resumedRequest,
    TokenStatement tokens,
    long contentHash) {
  public RequestHead {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(resumedRequest, "resumedRequest");
    Objects.requireNonNull(tokens, "tokens");
  }

  /** Returns what the request has in common with others that may crash servers. */
  RequestSignature signature() {
    return new RequestSignature(
        contentHash, prompt.map(RequestHead::sharedParts).orElse(List.of()));
  }

  private static List<Long> sharedParts(PromptOutline prompt) {
    long model = RendezvousHash.hashOf(prompt.model());
    return prompt.sharedParts().stream()
        .map(part -> RendezvousHash.combine(model, RendezvousHash.hashOf(part.id())))
        .distinct()
        .toList();
  }
}
