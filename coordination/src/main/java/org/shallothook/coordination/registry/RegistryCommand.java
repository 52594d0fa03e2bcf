package org.shallothook.coordination.registry;

import java.util.List;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.membership.Instance;

/**
 * What the registry part of a process wants done.
 *
 * <p>All commands are immutable and thread-safe.
 */
public sealed interface RegistryCommand {

  /** Read the newest record of each key behind a key. */
  record ReadNewest(RegistryStream stream, String afterKey) implements RegistryCommand {}

  /** Read records from an offset on, waiting a while for the first. */
  record Read(RegistryStream stream, long fromOffset, long longestWaitMicros)
      implements RegistryCommand {}

  /** Write where this process listens. */
  record PutMember(Instance self) implements RegistryCommand {}

  /** Send a message to a peer. */
  record SendToPeer(String peer, PeerMessage message, long configurationOffset)
      implements RegistryCommand {}

  /** Tell the network which peers there are. */
  record PeersChanged(List<Instance> peers) implements RegistryCommand {
    public PeersChanged {
      peers = List.copyOf(peers);
    }
  }
}
