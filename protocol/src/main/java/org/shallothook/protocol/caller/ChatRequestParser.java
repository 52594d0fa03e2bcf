package org.shallothook.protocol.caller;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.shallothook.coordination.router.ChatMessage;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.protocol.json.JsonDocument;
import org.shallothook.protocol.json.JsonFields;
import org.shallothook.state.request.RequestId;

/**
 * Parses the body and headers of {@code POST /v1/chat/completions}.
 *
 * <p>Fields of the OpenAI format that are not listed in docs/CALLERS.md are ignored.
 *
 * <p>Invariant: {@link #read} returns an error for any invalid body or header and never throws.
 * Stateless and thread-safe.
 */
public final class ChatRequestParser {
  private static final Set<String> ROLES = Set.of("system", "user", "assistant");
  private static final long MICROS_PER_MILLISECOND = 1_000;
  private static final long MAXIMUM_DEADLINE_MILLIS = Long.MAX_VALUE / MICROS_PER_MILLISECOND;

  private ChatRequestParser() {}

  /**
   * Headers of a chat request.
   *
   * @param key team key, or the empty string
   * @param tenant value of the tenant header
   * @param deadline value of the deadline header
   */
  public record Headers(String key, Optional<String> tenant, Optional<String> deadline) {}

  /**
   * Parses a request.
   *
   * @param request identifier that the router assigned to it
   * @param headers its headers
   * @param body its body
   */
  public static Either<CallerProtocolError, RouterEvent.ChatRequested> read(
      RequestId request, Headers headers, String body) {
    return deadlineMicros(headers.deadline())
        .flatMap(
            deadline ->
                JsonDocument.read(body, fields -> chat(request, headers, deadline, fields))
                    .mapLeft(CallerProtocolError.MalformedBody::new));
  }

  private static RouterEvent.ChatRequested chat(
      RequestId request, Headers headers, Optional<Long> deadlineMicros, JsonFields fields) {
    return new RouterEvent.ChatRequested(
        request,
        headers.key(),
        fields.string("model"),
        tenant(headers, fields),
        messages(fields),
        fields.optionalBoolean("stream").orElse(false),
        maximumOutputTokens(fields),
        deadlineMicros);
  }

  private static Optional<String> tenant(Headers headers, JsonFields fields) {
    Optional<String> field = fields.optionalString("tenant");
    if (field.isPresent() && headers.tenant().isPresent() && !field.equals(headers.tenant())) {
      throw fields.reject("tenant", "the same as header '" + CallerHeaders.TENANT + "'");
    }
    return field.or(headers::tenant);
  }

  private static List<ChatMessage> messages(JsonFields fields) {
    List<ChatMessage> messages = fields.objects("messages", ChatRequestParser::message);
    if (messages.isEmpty()) {
      throw fields.reject("messages", "a list of at least one message");
    }
    return messages;
  }

  private static ChatMessage message(JsonFields fields) {
    String role = fields.string("role");
    if (!ROLES.contains(role)) {
      throw fields.reject("role", "'system', 'user' or 'assistant'");
    }
    return new ChatMessage(role, fields.string("content"));
  }

  private static Optional<Integer> maximumOutputTokens(JsonFields fields) {
    Optional<Integer> maximum = fields.optionalInteger("max_tokens");
    if (maximum.isPresent() && maximum.get() < 1) {
      throw fields.reject("max_tokens", "a positive whole number");
    }
    return maximum;
  }

  private static Either<CallerProtocolError, Optional<Long>> deadlineMicros(
      Optional<String> header) {
    if (header.isEmpty()) {
      return Either.right(Optional.empty());
    }
    try {
      long millis = Long.parseLong(header.get().trim());
      if (millis >= 0 && millis <= MAXIMUM_DEADLINE_MILLIS) {
        return Either.right(Optional.of(millis * MICROS_PER_MILLISECOND));
      }
    } catch (NumberFormatException e) {
      return Either.left(invalidDeadline());
    }
    return Either.left(invalidDeadline());
  }

  private static CallerProtocolError invalidDeadline() {
    return new CallerProtocolError.InvalidHeader(
        CallerHeaders.DEADLINE, "a whole number of milliseconds since the epoch");
  }
}
