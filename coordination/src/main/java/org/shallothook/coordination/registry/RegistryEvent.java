package org.shallothook.coordination.registry;

import io.vavr.control.Either;
import java.util.Optional;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.port.CoreEvent;

/**
 * Events that a {@link RegistryCore} handles.
 *
 * <p>All events are immutable and thread-safe.
 */
public sealed interface RegistryEvent extends CoreEvent {

  /**
   * A read of the newest record of each key has ended.
   *
   * @param afterKey key that the read started after
   * @param era era of the store when it answered; empty if it is not known
   */
  record PageRead(
      RegistryStream stream,
      String afterKey,
      Either<ReadFailure, NewestPage> result,
      Optional<Long> era)
      implements RegistryEvent {}

  /**
   * A read of appended records has ended.
   *
   * @param fromOffset offset that the read started at
   * @param era era of the store when it answered; empty if it is not known
   */
  record StreamRead(
      RegistryStream stream,
      long fromOffset,
      Either<ReadFailure, RecordsRead> result,
      Optional<Long> era)
      implements RegistryEvent {}

  /**
   * A write of the membership record of this process has ended.
   *
   * @param era era of the store when it answered; empty if it is not known
   */
  record MemberPut(boolean isSuccessful, Optional<Long> era) implements RegistryEvent {}

  /**
   * A write of a key has ended.
   *
   * @param era era of the store when it answered; empty if it is not known
   */
  record PutEnded(RegistryStream stream, String key, boolean isSuccessful, Optional<Long> era)
      implements RegistryEvent {}

  /**
   * A write of several keys has ended.
   *
   * @param isSuccessful whether it is known to be done
   * @param era era of the store when it answered; empty if it is not known
   */
  record AppendEnded(RegistryStream stream, boolean isSuccessful, Optional<Long> era)
      implements RegistryEvent {}

  /** A peer has sent a message. */
  record PeerMessageReceived(Envelope envelope) implements RegistryEvent {}

  /** A peer cannot be reached. */
  record PeerUnreachable(String peer) implements RegistryEvent {}
}
