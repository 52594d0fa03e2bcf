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
 * Everything that a sidecar's decisions ask its transport to do.
 *
 * <p>Invariant: commands of one event are carried out in order. All commands are immutable and
 * thread-safe.
 */
public sealed interface SidecarCommand {

  /**
   * Sends a message to a peer. The transport adds the envelope.
   *
   * @param peer name of the receiving instance
   * @param message message to send
   * @param configurationOffset offset for the envelope
   */
  record SendToPeer(String peer, PeerMessage message, long configurationOffset)
      implements SidecarCommand {}

  /**
   * Tells the transport which peers exist and where they listen.
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
   * @param identity scope of cache reuse, with the model version that must answer
   * @param priority class of service
   * @param keys keys of the prompt's whole blocks
   * @param prompt rendered prompt
   * @param deliveredText text of the answer that is delivered already
   * @param resumePosition number of tokens in the delivered text
   * @param maximumOutputTokens greatest number of tokens in the whole answer
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
   * Cancels an answer on the engine. No event of the attempt needs to follow.
   *
   * @param attempt attempt to cancel
   */
  record CancelAnswer(AttemptId attempt) implements SidecarCommand {}

  /**
   * Stops or restarts reading an answer from the engine, which slows the engine down.
   *
   * @param attempt attempt being read
   * @param isPaused whether to stop reading
   */
  record PauseAnswer(AttemptId attempt, boolean isPaused) implements SidecarCommand {}

  /** Asks the engine or service for its state. */
  record ReadEngineStatus() implements SidecarCommand {}

  /**
   * Asks the engine for changes of its cache.
   *
   * @param fromSequence first sequence number wanted
   */
  record ReadCacheChanges(long fromSequence) implements SidecarCommand {}

  /** Asks the engine for a list of its whole cache. */
  record ListCache() implements SidecarCommand {}

  /**
   * Orders the engine to load or unload a model version.
   *
   * @param fencing fencing number, which grows
   * @param modelVersion model version
   * @param isLoad whether to load; otherwise to unload
   */
  record OrderEngine(long fencing, ModelVersion modelVersion, boolean isLoad)
      implements SidecarCommand {}

  /**
   * Orders the engine to take a role.
   *
   * @param fencing fencing number, which grows
   * @param role role to take
   */
  record OrderRole(long fencing, EngineRole role) implements SidecarCommand {}

  /**
   * Transfers cached blocks between the engine and the cache store.
   *
   * @param token token that the answer repeats
   * @param identity scope of reuse that both ends check
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
   * @param path path below the service
   * @param idempotencyKey caller's key, if any
   * @param fencing fencing number to pass, if the service checks them
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
   * Reads a stream of the log. The answer comes as an event.
   *
   * @param stream name of the stream
   * @param fromOffset first offset wanted
   */
  record ReadLog(String stream, long fromOffset) implements SidecarCommand {}

  /**
   * Appends one record to a stream of the log. The answer comes as an event.
   *
   * @param token token that the answer repeats
   * @param stream name of the stream
   * @param payload text of the record
   */
  record AppendLog(long token, String stream, String payload) implements SidecarCommand {}

  /**
   * Reads the list of instances unless it is unchanged.
   *
   * @param knownVersion version known, or -1
   */
  record ReadInstances(long knownVersion) implements SidecarCommand {}

  /** The sidecar has drained; the process may end. */
  record Drained() implements SidecarCommand {}
}
