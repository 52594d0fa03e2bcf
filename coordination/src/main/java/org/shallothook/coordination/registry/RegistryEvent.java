package org.shallothook.coordination.registry;

import io.vavr.control.Either;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.port.CoreEvent;

/**
 * Events that a {@link RegistryCore} handles.
 *
 * <p>All events are immutable and thread-safe.
 */
public sealed interface RegistryEvent extends CoreEvent {

  /** A read of the newest record of each key has ended. */
  record PageRead(RegistryStream stream, Either<ReadFailure, NewestPage> result)
      implements RegistryEvent {}

  /** A read of appended records has ended. */
  record StreamRead(RegistryStream stream, Either<ReadFailure, RecordsRead> result)
      implements RegistryEvent {}

  /** A write of the membership record of this process has ended. */
  record MemberPut(boolean isSuccessful) implements RegistryEvent {}

  /** A write of a key has ended. */
  record PutEnded(RegistryStream stream, String key, boolean isSuccessful)
      implements RegistryEvent {}

  /** A peer has sent a message. */
  record PeerMessageReceived(Envelope envelope) implements RegistryEvent {}

  /** A peer cannot be reached. */
  record PeerUnreachable(String peer) implements RegistryEvent {}
}
