package org.shallothook.coordination.router;

import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.membership.InstanceList;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RequestId;

/**
 * Input events of a router's decision core.
 *
 * <p>Invariant: an event reports what has happened; handling it never blocks. All events are
 * immutable and thread-safe.
 */
public sealed interface RouterEvent {

  /**
   * A caller has requested a chat completion.
   *
   * @param request identifier assigned by the transport
   * @param key team key as sent, without {@code Bearer}; empty if none was sent
   * @param model model named by the caller
   * @param tenant tenant named by the caller, if any
   * @param messages conversation, oldest first
   * @param isStreaming whether the caller requested a streamed response
   * @param maximumOutputTokens maximum number of tokens to generate, if the caller set one
   * @param deadlineMicros deadline of the first token, in microseconds since the epoch, if the
   *     caller set one
   */
  record ChatRequested(
      RequestId request,
      String key,
      String model,
      Optional<String> tenant,
      List<ChatMessage> messages,
      boolean isStreaming,
      Optional<Integer> maximumOutputTokens,
      Optional<Long> deadlineMicros)
      implements RouterEvent {
    public ChatRequested {
      messages = List.copyOf(messages);
    }
  }

  /**
   * A caller has called a plain service.
   *
   * @param request identifier assigned by the transport
   * @param key team key as sent, without {@code Bearer}; empty if none was sent
   * @param service name of the service
   * @param path path relative to the service, without a leading slash
   * @param idempotencyKey value of {@code Idempotency-Key}, if sent
   * @param contentType content type of the body
   * @param body body of the call
   */
  record CallRequested(
      RequestId request,
      String key,
      String service,
      String path,
      Optional<String> idempotencyKey,
      String contentType,
      String body)
      implements RouterEvent {}

  /**
   * A caller has sent a request whose body cannot be parsed. The refusal describes the body, so
   * only callers with a valid key may receive it.
   *
   * @param request identifier assigned by the transport
   * @param key team key as sent, without {@code Bearer}; empty if none was sent
   * @param refusal refusal for a caller whose key belongs to a team
   */
  record MalformedRequested(RequestId request, String key, Refusal refusal)
      implements RouterEvent {}

  /**
   * A caller has requested the list of models that it may use.
   *
   * @param request identifier assigned by the transport
   * @param key team key as sent
   */
  record ModelsRequested(RequestId request, String key) implements RouterEvent {}

  /**
   * Tokens were written to a caller's connection.
   *
   * @param request request being streamed
   * @param position total number of tokens written
   */
  record CallerConsumed(RequestId request, int position) implements RouterEvent {}

  /**
   * A caller has closed its connection.
   *
   * @param request request that it had open
   */
  record CallerGone(RequestId request) implements RouterEvent {}

  /**
   * A message from a peer has arrived.
   *
   * @param envelope the message in its envelope
   */
  record PeerMessageReceived(Envelope envelope) implements RouterEvent {}

  /**
   * A connection to a peer could not be opened, so no message sent for that connection has arrived.
   *
   * @param peer name of the peer
   */
  record PeerUnreachable(String peer) implements RouterEvent {}

  /**
   * An open connection to a peer was lost; messages sent on it may have arrived.
   *
   * @param peer name of the peer
   */
  record PeerLost(String peer) implements RouterEvent {}

  /**
   * A read of the log has succeeded.
   *
   * @param page records read
   */
  record LogRead(LogPage page) implements RouterEvent {}

  /**
   * A read of the log has failed.
   *
   * @param stream name of the stream
   */
  record LogReadFailed(String stream) implements RouterEvent {}

  /**
   * An append to the log has succeeded.
   *
   * @param token token of the append command
   * @param offset offset of the new record
   */
  record LogAppended(long token, long offset) implements RouterEvent {}

  /**
   * An append to the log has failed, or its response was lost.
   *
   * @param token token of the append command
   * @param mayHaveTakenEffect whether the record may be in the log nevertheless
   */
  record LogAppendFailed(long token, boolean mayHaveTakenEffect) implements RouterEvent {}

  /**
   * The instance list was read.
   *
   * @param list the instance list
   */
  record InstancesRead(InstanceList list) implements RouterEvent {}

  /** Time has passed. Sent at least every {@link RouterCore#TICK_INTERVAL_MICROS}. */
  record Tick() implements RouterEvent {}

  /** The process has been asked to stop. */
  record DrainRequested() implements RouterEvent {}
}
