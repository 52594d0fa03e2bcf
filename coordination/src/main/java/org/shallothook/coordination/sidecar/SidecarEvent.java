package org.shallothook.coordination.sidecar;

import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.membership.EngineRole;
import org.shallothook.state.membership.InstanceList;
import org.shallothook.state.request.AttemptId;

/**
 * Events that a sidecar's decision logic handles.
 *
 * <p>Invariant: an event reports something that has happened; handling it never blocks. All events
 * are immutable and thread-safe.
 */
public sealed interface SidecarEvent {

  /**
   * A message from a peer has arrived.
   *
   * @param envelope the message
   */
  record PeerMessageReceived(Envelope envelope) implements SidecarEvent {}

  /**
   * A connection to a peer could not be opened, so no message for it has arrived.
   *
   * @param peer name of the peer
   */
  record PeerUnreachable(String peer) implements SidecarEvent {}

  /**
   * The connection to a peer was lost; messages sent on it may have arrived.
   *
   * @param peer name of the peer
   */
  record PeerLost(String peer) implements SidecarEvent {}

  /**
   * The engine has generated tokens.
   *
   * @param attempt attempt that they belong to
   * @param position number of tokens in the answer before these
   * @param count number of tokens
   * @param text text of the tokens
   */
  record EngineTokens(AttemptId attempt, int position, int count, String text)
      implements SidecarEvent {}

  /**
   * The engine has completed an answer with its end marker.
   *
   * @param attempt attempt that it belongs to
   * @param position number of tokens in the whole answer
   * @param finishReason {@code stop} or {@code length}
   * @param cachedBlocks number of leading prompt blocks reused from the engine's cache
   */
  record EngineEnded(AttemptId attempt, int position, String finishReason, int cachedBlocks)
      implements SidecarEvent {}

  /**
   * The engine has refused an attempt, or its stream was lost.
   *
   * @param attempt attempt that it belongs to
   * @param hasReachedEngine whether any byte may have reached the engine
   * @param detail description of the failure
   */
  record EngineFailed(AttemptId attempt, boolean hasReachedEngine, String detail)
      implements SidecarEvent {}

  /**
   * The engine or service has reported its status.
   *
   * @param incarnation incarnation of the engine or service; changes with each restart
   * @param ready model versions loaded
   * @param running number of running streams
   * @param maximumRunning maximum number of concurrent streams
   * @param lastFencing greatest fencing token seen, or -1 if fencing tokens are ignored
   * @param isLeaving whether it reports that it is leaving
   * @param role current role
   */
  record EngineStatus(
      String incarnation,
      List<ModelVersion> ready,
      int running,
      int maximumRunning,
      long lastFencing,
      boolean isLeaving,
      EngineRole role)
      implements SidecarEvent {
    public EngineStatus {
      ready = List.copyOf(ready);
    }

    /** Creates the status of an engine or service that does not report a role. */
    public EngineStatus(
        String incarnation,
        List<ModelVersion> ready,
        int running,
        int maximumRunning,
        long lastFencing,
        boolean isLeaving) {
      this(incarnation, ready, running, maximumRunning, lastFencing, isLeaving, EngineRole.MIXED);
    }
  }

  /** The engine or service did not respond to a status request. */
  record EngineUnreachable() implements SidecarEvent {}

  /**
   * The engine has published changes to its cache.
   *
   * @param incarnation incarnation that published them
   * @param firstSequence sequence number of the first change
   * @param changes consecutive changes
   */
  record CacheChanged(String incarnation, long firstSequence, List<CacheChange> changes)
      implements SidecarEvent {
    public CacheChanged {
      changes = List.copyOf(changes);
    }
  }

  /**
   * The engine has listed its whole cache.
   *
   * @param incarnation incarnation that listed it
   * @param nextSequence sequence number of the first change that the list does not include
   * @param keys keys of all cached blocks
   */
  record CacheListed(String incarnation, long nextSequence, List<BlockKey> keys)
      implements SidecarEvent {
    public CacheListed {
      keys = List.copyOf(keys);
    }
  }

  /**
   * The engine responded to an order, or the response was lost.
   *
   * @param fencing fencing token of the order
   * @param accepted whether the engine accepted the order; empty if the response was lost
   */
  record OrderAnswered(long fencing, Optional<Boolean> accepted) implements SidecarEvent {}

  /**
   * The engine responded to an order to take a role, or the response was lost.
   *
   * @param order the order
   * @param accepted whether the engine accepted the order; empty if the response was lost
   */
  record RoleOrderAnswered(SidecarCommand.OrderRole order, Optional<Boolean> accepted)
      implements SidecarEvent {}

  /**
   * A transfer of cached blocks has ended.
   *
   * @param token token of the command
   * @param keys keys that were transferred; empty after a failure
   */
  record TransferEnded(long token, List<BlockKey> keys) implements SidecarEvent {
    public TransferEnded {
      keys = List.copyOf(keys);
    }
  }

  /**
   * The service has responded to a call.
   *
   * @param attempt attempt of the call
   * @param status HTTP status
   * @param contentType content type of the body
   * @param body body of the response
   */
  record ServiceAnswered(AttemptId attempt, int status, String contentType, String body)
      implements SidecarEvent {}

  /**
   * A call has failed without a response.
   *
   * @param attempt attempt of the call
   * @param hasReachedService whether any byte may have reached the service
   */
  record ServiceFailed(AttemptId attempt, boolean hasReachedService) implements SidecarEvent {}

  /**
   * Records of the log were read.
   *
   * @param page page that was read
   */
  record LogRead(LogPage page) implements SidecarEvent {}

  /**
   * A read of the log failed.
   *
   * @param stream stream that was read
   */
  record LogReadFailed(String stream) implements SidecarEvent {}

  /**
   * A record was appended to the log.
   *
   * @param token token of the append command
   * @param offset offset of the record
   */
  record LogAppended(long token, long offset) implements SidecarEvent {}

  /**
   * An append to the log failed, or the response was lost.
   *
   * @param token token of the append command
   * @param mayHaveTakenEffect whether the record may be in the log nevertheless
   */
  record LogAppendFailed(long token, boolean mayHaveTakenEffect) implements SidecarEvent {}

  /**
   * The instance list was read.
   *
   * @param list list that was read
   */
  record InstancesRead(InstanceList list) implements SidecarEvent {}

  /** Time has passed. Sent at least every {@link SidecarCore#TICK_INTERVAL_MICROS}. */
  record Tick() implements SidecarEvent {}

  /** The process has been asked to stop. */
  record DrainRequested() implements SidecarEvent {}
}
