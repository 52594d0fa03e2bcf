package org.shallothook.benchmarks.virtual;

import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.router.ChatMessage;

/**
 * What a caller asks of a model.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key key of the team
 * @param model model
 * @param tenant tenant, if the team has any
 * @param messages conversation, oldest first
 * @param maximumOutputTokens greatest length of the answer, if limited
 * @param deadlineMicros when the first token is of no more use, if ever
 * @param stallAfterTokens tokens after which the caller stops reading; {@link Integer#MAX_VALUE}
 *     for never
 */
public record ChatCall(
    String key,
    String model,
    Optional<String> tenant,
    List<ChatMessage> messages,
    Optional<Integer> maximumOutputTokens,
    Optional<Long> deadlineMicros,
    int stallAfterTokens) {
  public ChatCall {
    messages = List.copyOf(messages);
  }

  /** Returns a call without limits. */
  public static ChatCall of(
      String key, String model, Optional<String> tenant, List<ChatMessage> messages) {
    return new ChatCall(
        key, model, tenant, messages, Optional.empty(), Optional.empty(), Integer.MAX_VALUE);
  }
}
