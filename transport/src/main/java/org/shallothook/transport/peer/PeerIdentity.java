package org.shallothook.transport.peer;

import java.util.Objects;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.membership.InstanceRole;

/**
 * Identity that this process announces to its peers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name name of the instance
 * @param incarnation incarnation of the process; grows with each restart
 * @param role role of the instance
 * @param failureDomain failure domain that the instance runs in
 */
public record PeerIdentity(String name, long incarnation, InstanceRole role, String failureDomain) {
  public PeerIdentity {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(role, "role");
    Objects.requireNonNull(failureDomain, "failureDomain");
  }

  Envelope envelope(PeerMessage message, long configurationOffset) {
    return new Envelope(name, incarnation, configurationOffset, message);
  }

  Envelope hello(long configurationOffset) {
    return envelope(new PeerMessage.Hello(role, failureDomain), configurationOffset);
  }
}
