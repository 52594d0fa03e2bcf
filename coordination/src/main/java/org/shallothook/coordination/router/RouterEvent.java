package org.shallothook.coordination.router;

import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.membership.InstanceList;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RequestId;

/**
 * Everything that a router reacts to.
 *
 * <p>Invariant: an event says what has happened and never asks the core to wait. All events are
 * immutable and thread-safe.
 */
public sealed interface RouterEvent {

  /**
   * A caller asks for a chat completion.
   *
   * @param request identifier given by the transport
   * @param key team key as sent, without {@code Bearer}; empty if none was sent
   * @param model model named by the caller
   * @param tenant tenant named by the caller, if any
   * @param messages conversation, oldest first
   * @param isStreaming whether the caller wants tokens as they come
   * @param maximumOutputTokens greatest number of tokens, if the caller named one
   * @param deadlineMicros when the first token is of no more use to the caller, if it named one
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
   * A caller calls a plain service.
   *
   * @param request identifier given by the transport
   * @param key team key as sent, without {@code Bearer}; empty if none was sent
   * @param service name of the service
   * @param path path below the service, without a leading slash
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
   * A caller sends a request whose body cannot be read. The refusal tells of the body, so it is for
   * callers with a valid key only.
   *
   * @param request identifier given by the transport
   * @param key team key as sent, without {@code Bearer}; empty if none was sent
   * @param refusal answer to a caller whose key belongs to a team
   */
  record UnreadableRequested(RequestId request, String key, Refusal refusal)
      implements RouterEvent {}

  /**
   * A caller asks which models it may use.
   *
   * @param request identifier given by the transport
   * @param key team key as sent
   */
  record ModelsRequested(RequestId request, String key) implements RouterEvent {}

  /**
   * The connection of a caller has taken tokens.
   *
   * @param request request being streamed
   * @param position number of tokens taken
   */
  record CallerConsumed(RequestId request, int position) implements RouterEvent {}

  /**
   * A caller has closed its connection.
   *
   * @param request request that it had open
   */
  record CallerGone(RequestId request) implements RouterEvent {}

  /**
   * A message of a peer has arrived.
   *
   * @param envelope the message
   */
  record PeerMessageReceived(Envelope envelope) implements RouterEvent {}

  /**
   * A connection to a peer could not be opened, so nothing sent on it has arrived.
   *
   * @param peer name of the peer
   */
  record PeerUnreachable(String peer) implements RouterEvent {}

  /**
   * An open connection to a peer was lost; what was sent on it may have arrived.
   *
   * @param peer name of the peer
   */
  record PeerLost(String peer) implements RouterEvent {}

  /**
   * Records of the log were read.
   *
   * @param page what was read
   */
  record LogRead(LogPage page) implements RouterEvent {}

  /**
   * A read of the log failed.
   *
   * @param stream stream that was read
   */
  record LogReadFailed(String stream) implements RouterEvent {}

  /**
   * An append to the log was answered.
   *
   * @param token token of the append command
   * @param offset offset that the record got
   */
  record LogAppended(long token, long offset) implements RouterEvent {}

  /**
   * An append to the log failed, or its answer was lost.
   *
   * @param token token of the append command
   * @param mayHaveTakenEffect whether the record may be in the log all the same
   */
  record LogAppendFailed(long token, boolean mayHaveTakenEffect) implements RouterEvent {}

  /**
   * The list of instances was read.
   *
   * @param list what was read
   */
  record InstancesRead(InstanceList list) implements RouterEvent {}

  /** Time has passed. Sent at least every {@link RouterCore#TICK_INTERVAL_MICROS}. */
  record Tick() implements RouterEvent {}

  /** The process has been asked to stop. */
  record DrainRequested() implements RouterEvent {}
}
