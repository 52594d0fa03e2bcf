package org.shallothook.coordination.router;

import java.util.List;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RequestId;

/**
 * Commands from a router's decision core to its transport.
 *
 * <p>Invariant: the commands that result from one event are executed in order. All commands are
 * immutable and thread-safe.
 */
public sealed interface RouterCommand {

  /**
   * Sends a message, opening a connection if there is none. The transport adds the envelope.
   *
   * @param peer name of the receiving instance
   * @param message message to send
   * @param configurationOffset configuration offset for the envelope
   */
  record SendToPeer(String peer, PeerMessage message, long configurationOffset)
      implements RouterCommand {}

  /**
   * Updates the transport's list of peers and their addresses. Connections to other peers are
   * closed.
   *
   * @param peers all known peers
   */
  record PeersChanged(List<Instance> peers) implements RouterCommand {
    public PeersChanged {
      peers = List.copyOf(peers);
    }
  }

  /**
   * Sends tokens to a caller.
   *
   * @param request request to respond to
   * @param position number of tokens that precede these
   * @param count number of tokens
   * @param text their text
   */
  record SendTokens(RequestId request, int position, int count, String text)
      implements RouterCommand {}

  /**
   * Ends a chat completion whose answer is complete.
   *
   * @param request request to respond to
   * @param tokens number of tokens in the whole answer
   * @param finishReason {@code stop} or {@code length}
   * @param cachedTokens prompt tokens that were read from a prefix cache
   */
  record CompleteAnswer(RequestId request, int tokens, String finishReason, int cachedTokens)
      implements RouterCommand {}

  /**
   * Responds to a call with the response of the service.
   *
   * @param request request to respond to
   * @param status HTTP status
   * @param contentType content type of the body
   * @param body body of the response
   */
  record AnswerCall(RequestId request, int status, String contentType, String body)
      implements RouterCommand {}

  /**
   * Responds to a request for the list of models.
   *
   * @param request request to respond to
   * @param models models that the team may use
   */
  record AnswerModels(RequestId request, List<String> models) implements RouterCommand {
    public AnswerModels {
      models = List.copyOf(models);
    }
  }

  /**
   * Ends a request with a refusal: an error response or, if a stream has started, an error event.
   *
   * @param request request to end
   * @param refusal refusal to send
   */
  record Refuse(RequestId request, Refusal refusal) implements RouterCommand {}

  /**
   * Reads a log stream. The result arrives as an event.
   *
   * @param stream name of the stream
   * @param fromOffset first offset to read
   */
  record ReadLog(String stream, long fromOffset) implements RouterCommand {}

  /**
   * Appends one record to a log stream. The result arrives as an event.
   *
   * @param token token that identifies the append in the resulting event
   * @param stream name of the stream
   * @param payload text of the record
   */
  record AppendLog(long token, String stream, String payload) implements RouterCommand {}

  /**
   * Reads the instance list if it has changed.
   *
   * @param knownVersion version last read, or -1
   */
  record ReadInstances(long knownVersion) implements RouterCommand {}

  /** The router has drained; the process may end. */
  record Drained() implements RouterCommand {}
}
