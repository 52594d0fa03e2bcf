package org.shallothook.coordination.router;

import java.util.List;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RequestId;

/**
 * Everything that a router's decisions ask its transport to do.
 *
 * <p>Invariant: commands of one event are carried out in order. All commands are immutable and
 * thread-safe.
 */
public sealed interface RouterCommand {

  /**
   * Sends a message, opening a connection where there is none. The transport adds the envelope.
   *
   * @param peer name of the receiving instance
   * @param message message to send
   * @param configurationOffset offset for the envelope
   */
  record SendToPeer(String peer, PeerMessage message, long configurationOffset)
      implements RouterCommand {}

  /**
   * Tells the transport which peers exist and where they listen. Connections to others are closed.
   *
   * @param peers all known peers
   */
  record PeersChanged(List<Instance> peers) implements RouterCommand {
    public PeersChanged {
      peers = List.copyOf(peers);
    }
  }

  /**
   * Passes tokens to a caller.
   *
   * @param request request to answer
   * @param position number of tokens before these
   * @param count number of tokens
   * @param text their text
   */
  record SendTokens(RequestId request, int position, int count, String text)
      implements RouterCommand {}

  /**
   * Ends a complete answer.
   *
   * @param request request to answer
   * @param tokens number of tokens in the whole answer
   * @param finishReason {@code stop} or {@code length}
   * @param cachedTokens prompt tokens that were taken from a cache
   */
  record CompleteAnswer(RequestId request, int tokens, String finishReason, int cachedTokens)
      implements RouterCommand {}

  /**
   * Answers a call with what the service said.
   *
   * @param request request to answer
   * @param status HTTP status
   * @param contentType content type of the body
   * @param body body of the answer
   */
  record AnswerCall(RequestId request, int status, String contentType, String body)
      implements RouterCommand {}

  /**
   * Answers a question for models.
   *
   * @param request request to answer
   * @param models models that the team may use
   */
  record AnswerModels(RequestId request, List<String> models) implements RouterCommand {
    public AnswerModels {
      models = List.copyOf(models);
    }
  }

  /**
   * Ends a request with a refusal: an error answer, or an error event where a stream has begun.
   *
   * @param request request to end
   * @param refusal final negative answer
   */
  record Refuse(RequestId request, Refusal refusal) implements RouterCommand {}

  /**
   * Reads a stream of the log. The answer comes as an event.
   *
   * @param stream name of the stream
   * @param fromOffset first offset wanted
   */
  record ReadLog(String stream, long fromOffset) implements RouterCommand {}

  /**
   * Appends one record to a stream of the log. The answer comes as an event.
   *
   * @param token token that the answer repeats
   * @param stream name of the stream
   * @param payload text of the record
   */
  record AppendLog(long token, String stream, String payload) implements RouterCommand {}

  /**
   * Reads the list of instances unless it is unchanged.
   *
   * @param knownVersion version known, or -1
   */
  record ReadInstances(long knownVersion) implements RouterCommand {}

  /** The router has drained; the process may end. */
  record Drained() implements RouterCommand {}
}
