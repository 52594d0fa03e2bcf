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
 * Everything that a sidecar reacts to.
 *
 * <p>Invariant: an event says what has happened and never asks the core to wait. All events are
 * immutable and thread-safe.
 */
public sealed interface SidecarEvent {

  /**
   * A message of a peer has arrived.
   *
   * @param envelope the message
   */
  record PeerMessageReceived(Envelope envelope) implements SidecarEvent {}

  /**
   * A connection to a peer could not be opened, so nothing sent on it has arrived.
   *
   * @param peer name of the peer
   */
  record PeerUnreachable(String peer) implements SidecarEvent {}

  /**
   * The connection of a peer was lost; what was sent on it may have arrived.
   *
   * @param peer name of the peer
   */
  record PeerLost(String peer) implements SidecarEvent {}

  /**
   * The engine has generated tokens.
   *
   * @param attempt attempt that they belong to
   * @param position number of tokens of the answer before these
   * @param count number of tokens
   * @param text their text
   */
  record EngineTokens(AttemptId attempt, int position, int count, String text)
      implements SidecarEvent {}

  /**
   * The engine has ended an answer with its end marker.
   *
   * @param attempt attempt that it belongs to
   * @param position number of tokens in the whole answer
   * @param finishReason {@code stop} or {@code length}
   * @param cachedBlocks leading blocks taken from the engine's cache
   */
  record EngineEnded(AttemptId attempt, int position, String finishReason, int cachedBlocks)
      implements SidecarEvent {}

  /**
   * The engine has refused an attempt or lost it.
   *
   * @param attempt attempt that it belongs to
   * @param hasReachedEngine whether any byte may have reached the engine
   * @param detail what was found
   */
  record EngineFailed(AttemptId attempt, boolean hasReachedEngine, String detail)
      implements SidecarEvent {}

  /**
   * The engine or service has reported its state.
   *
   * @param incarnation incarnation, new after each restart
   * @param ready model versions loaded
   * @param running streams that it runs
   * @param maximumRunning streams that it can run at once
   * @param lastFencing greatest fencing number that it has seen; -1 where it ignores them
   * @param isLeaving whether it says that it is leaving
   * @param role role that it has
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

    /** Creates the report of an engine or service without roles. */
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

  /** The engine or service did not answer a question for its state. */
  record EngineUnreachable() implements SidecarEvent {}

  /**
   * The engine has published changes of its cache.
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
   * @param nextSequence sequence number of the first change not in the list
   * @param keys keys of all cached blocks
   */
  record CacheListed(String incarnation, long nextSequence, List<BlockKey> keys)
      implements SidecarEvent {
    public CacheListed {
      keys = List.copyOf(keys);
    }
  }

  /**
   * An order to the engine was answered, or its answer lost.
   *
   * @param fencing fencing number of the order
   * @param accepted whether the engine took it; empty when the answer was lost
   */
  record OrderAnswered(long fencing, Optional<Boolean> accepted) implements SidecarEvent {}

  /**
   * An order to take a role was answered, or its answer lost.
   *
   * @param order the order
   * @param accepted whether the engine took it; empty when the answer was lost
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
   * The service has answered a call.
   *
   * @param attempt attempt of the call
   * @param status HTTP status
   * @param contentType content type of the body
   * @param body body of the answer
   */
  record ServiceAnswered(AttemptId attempt, int status, String contentType, String body)
      implements SidecarEvent {}

  /**
   * A call has failed without an answer.
   *
   * @param attempt attempt of the call
   * @param hasReachedService whether any byte may have reached the service
   */
  record ServiceFailed(AttemptId attempt, boolean hasReachedService) implements SidecarEvent {}

  /**
   * Records of the log were read.
   *
   * @param page what was read
   */
  record LogRead(LogPage page) implements SidecarEvent {}

  /**
   * A read of the log failed.
   *
   * @param stream stream that was read
   */
  record LogReadFailed(String stream) implements SidecarEvent {}

  /**
   * An append to the log was answered.
   *
   * @param token token of the append command
   * @param offset offset that the record got
   */
  record LogAppended(long token, long offset) implements SidecarEvent {}

  /**
   * An append to the log failed, or its answer was lost.
   *
   * @param token token of the append command
   * @param mayHaveTakenEffect whether the record may be in the log all the same
   */
  record LogAppendFailed(long token, boolean mayHaveTakenEffect) implements SidecarEvent {}

  /**
   * The list of instances was read.
   *
   * @param list what was read
   */
  record InstancesRead(InstanceList list) implements SidecarEvent {}

  /** Time has passed. Sent at least every {@link SidecarCore#TICK_INTERVAL_MICROS}. */
  record Tick() implements SidecarEvent {}

  /** The process has been asked to stop. */
  record DrainRequested() implements SidecarEvent {}
}
