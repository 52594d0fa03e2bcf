package org.shallothook.coordination.sidecar;

import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.membership.EngineRole;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.request.AttemptId;

/**
 * Commands from a sidecar's decision logic to its transport.
 *
 * <p>Invariant: commands that result from one event are executed in order. All commands are
 * immutable and thread-safe.
 */
public sealed interface SidecarCommand {

  /**
   * Sends a message to a peer. The transport adds the envelope.
   *
   * @param peer name of the receiving instance
   * @param message message to send
   * @param configurationOffset configuration offset for the envelope
   */
  record SendToPeer(String peer, PeerMessage message, long configurationOffset)
      implements SidecarCommand {}

  /**
   * Updates the transport's list of peers and their addresses.
   *
   * @param peers all known peers
   */
  record PeersChanged(List<Instance> peers) implements SidecarCommand {
    public PeersChanged {
      peers = List.copyOf(peers);
    }
  }

  /**
   * Starts an answer on the engine.
   *
   * @param attempt attempt to run
   * @param identity scope of cache reuse, with the model version that must generate the answer
   * @param priority class of service
   * @param keys keys of the prompt's whole blocks
   * @param prompt rendered prompt
   * @param deliveredText part of the answer that was already delivered to the caller
   * @param resumePosition number of tokens in the delivered text
   * @param maximumOutputTokens maximum number of tokens in the whole answer, including delivered
   *     ones
   */
  record StartAnswer(
      AttemptId attempt,
      CacheIdentity identity,
      PriorityClass priority,
      List<BlockKey> keys,
      String prompt,
      String deliveredText,
      int resumePosition,
      int maximumOutputTokens)
      implements SidecarCommand {
    public StartAnswer {
      keys = List.copyOf(keys);
    }
  }

  /**
   * Cancels an answer on the engine. The transport need not send any further event for the attempt.
   *
   * @param attempt attempt to cancel
   */
  record CancelAnswer(AttemptId attempt) implements SidecarCommand {}

  /**
   * Pauses or resumes reading an answer from the engine. A paused stream exerts back-pressure on
   * the engine.
   *
   * @param attempt attempt being read
   * @param isPaused whether to pause; otherwise to resume
   */
  record PauseAnswer(AttemptId attempt, boolean isPaused) implements SidecarCommand {}

  /** Requests the status of the engine or service. */
  record ReadEngineStatus() implements SidecarCommand {}

  /**
   * Requests changes to the engine's cache.
   *
   * @param fromSequence first sequence number to return
   */
  record ReadCacheChanges(long fromSequence) implements SidecarCommand {}

  /** Requests a listing of the engine's whole cache. */
  record ListCache() implements SidecarCommand {}

  /**
   * Orders the engine to load or unload a model version.
   *
   * @param fencing fencing token, which never decreases
   * @param modelVersion model version
   * @param isLoad whether to load; otherwise to unload
   */
  record OrderModelVersion(long fencing, ModelVersion modelVersion, boolean isLoad)
      implements SidecarCommand {}

  /**
   * Orders the engine to take a role.
   *
   * @param fencing fencing token, which never decreases
   * @param role role to take
   */
  record OrderRole(long fencing, EngineRole role) implements SidecarCommand {}

  /**
   * Transfers cached blocks between the engine and the cache store.
   *
   * @param token token that the resulting event repeats
   * @param identity scope of cache reuse, checked by both ends
   * @param keys keys of the blocks
   * @param isImport whether the engine imports; otherwise it exports
   */
  record TransferBlocks(long token, CacheIdentity identity, List<BlockKey> keys, boolean isImport)
      implements SidecarCommand {
    public TransferBlocks {
      keys = List.copyOf(keys);
    }
  }

  /**
   * Calls the service.
   *
   * @param attempt attempt of the call
   * @param path path relative to the service
   * @param idempotencyKey caller's idempotency key, if any
   * @param fencing fencing token to send, if the service checks fencing tokens
   * @param contentType content type of the body
   * @param body body of the call
   */
  record CallService(
      AttemptId attempt,
      String path,
      Optional<String> idempotencyKey,
      Optional<Long> fencing,
      String contentType,
      String body)
      implements SidecarCommand {}

  /**
   * Reads a stream of the log. The result is delivered as an event.
   *
   * @param stream name of the stream
   * @param fromOffset first offset to return
   */
  record ReadLog(String stream, long fromOffset) implements SidecarCommand {}

  /**
   * Appends one record to a stream of the log. The result is delivered as an event.
   *
   * @param token token that the resulting event repeats
   * @param stream name of the stream
   * @param payload text of the record
   */
  record AppendLog(long token, String stream, String payload) implements SidecarCommand {}

  /**
   * Reads the instance list if it has changed.
   *
   * @param knownVersion version of the latest list read, or -1
   */
  record ReadInstances(long knownVersion) implements SidecarCommand {}

  /** Reports that the sidecar has drained and the process may exit. */
  record Drained() implements SidecarCommand {}
}
