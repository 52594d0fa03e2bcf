package org.shallothook.coordination.registry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.membership.Instance;

/**
 * Commands of a {@link RegistryCore}.
 *
 * <p>All commands are immutable and thread-safe.
 */
public sealed interface RegistryCommand {

  /** Read the newest record of each key that sorts after the given one. */
  record ReadNewest(RegistryStream stream, String afterKey) implements RegistryCommand {}

  /** Read records starting at an offset, waiting up to the given time for the first. */
  record Read(RegistryStream stream, long fromOffset, long maximumWaitMicros)
      implements RegistryCommand {}

  /** Write the membership record of this process, with the address where it listens. */
  record PutMember(Instance self) implements RegistryCommand {}

  /** Write the value of a key to a stream, or remove the key if there is no value. */
  record Put(RegistryStream stream, String key, Optional<String> value)
      implements RegistryCommand {}

  /**
   * Write the values of keys to a stream, all or none; a key without a value is removed.
   *
   * @param atOffset offset at which the stream must end, or nothing is written; empty if it may end
   *     anywhere
   */
  record Append(
      RegistryStream stream, Map<String, Optional<String>> values, Optional<Long> atOffset)
      implements RegistryCommand {
    public Append {
      values = Map.copyOf(values);
    }
  }

  /** Send a message to a peer. */
  record SendToPeer(String peer, PeerMessage message, long configurationOffset)
      implements RegistryCommand {}

  /** Replace the list of known peers in the transport. */
  record PeersChanged(List<Instance> peers) implements RegistryCommand {
    public PeersChanged {
      peers = List.copyOf(peers);
    }
  }
}
