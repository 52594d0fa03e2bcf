package org.shallothook.coordination.forward;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothook.coordination.message.PeerMessage.PacedUpstream;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.coordination.message.PeerMessage.UpstreamSpeed;
import org.shallothook.coordination.message.PeerMessage.UsedAllowance;
import org.shallothook.coordination.origin.RecordedStreams;
import org.shallothook.coordination.origin.SoftwareVersion;
import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.coordination.quarantine.RequestSignature;
import org.shallothook.state.log.WrittenTime;
import org.shallothook.state.route.RouteTable;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.WeightVersion;

/**
 * Event that a forwarding router handles.
 *
 * <p>Requests are identified by a number that the transport assigns, attempts by a number within
 * their request. All events are immutable and thread-safe.
 */
public sealed interface ForwardEvent extends CoreEvent {

  /** A whole request has arrived. */
  record Requested(long request, RequestHead head) implements ForwardEvent {}

  /** The caller has closed its connection. */
  record CallerGone(long request) implements ForwardEvent {}

  /** An attempt failed before any byte of it was written. */
  record Unsent(long request, int attempt, String detail) implements ForwardEvent {}

  /** The head of a response has arrived; the transport waits for a command before it goes on. */
  record ResponseReceived(long request, int attempt, ResponseHead answer) implements ForwardEvent {}

  /**
   * The server of a relayed response has been silent for longer than the stall timeout; repeated
   * for as long as it is.
   */
  record Stalled(long request, int attempt) implements ForwardEvent {}

  /** A relayed response has ended completely. */
  record Completed(long request, int attempt) implements ForwardEvent {}

  /**
   * An attempt has ended without a complete response, and its connection is closed.
   *
   * @param isReset whether the server broke the connection, rather than sent an invalid response
   * @param lastEvent number of the last complete event that was relayed to the caller
   * @param lastOutputMicros when output last arrived, on the decision clock in microseconds; the
   *     server need not have run for longer
   */
  record Broken(
      long request,
      int attempt,
      boolean isReset,
      String detail,
      Optional<Long> lastEvent,
      long lastOutputMicros)
      implements ForwardEvent {}

  /** A version of the configuration was read. */
  record RoutesRead(RouteTable table) implements ForwardEvent {}

  /**
   * Entries of the registry were read.
   *
   * @param entries entries that are new or have changed
   * @param completesList whether all existing entries are known with these
   */
  record ServersRead(List<ServerEntry> entries, boolean completesList) implements ForwardEvent {}

  /** An entry of the registry was removed. */
  record ServerRemoved(String id) implements ForwardEvent {}

  /**
   * An operator has set the desired version of a model's weights for all servers.
   *
   * @param version desired version
   * @param written what is known of the time at which operators have set it
   */
  record DesiredVersionChanged(WeightVersion version, WrittenTime written)
      implements ForwardEvent {}

  /** The registry has become readable or unreadable. */
  record RegistryReachable(boolean isReachable) implements ForwardEvent {}

  /** The registry was restored from a copy, which may lack entries of running servers. */
  record RegistryRestored() implements ForwardEvent {}

  /** A sidecar has reported the status of its server, or a peer that a server is leaving. */
  record StatusReceived(SidecarStatus status) implements ForwardEvent {}

  /**
   * A peer has announced that it sent prompts with the given prefixes to a server, or is saving
   * them to the cache store.
   *
   * @param server identity of the server, or address of the store
   * @param prefixHashes hashes of the prefixes
   */
  record PrefixesAnnounced(String server, List<Long> prefixHashes) implements ForwardEvent {
    public PrefixesAnnounced {
      prefixHashes = List.copyOf(prefixHashes);
    }
  }

  /**
   * Declarations of software versions were read from the store.
   *
   * @param positions position of each version among those of its service; empty if it is withdrawn
   */
  record SoftwareDeclared(Map<SoftwareVersion, Optional<Long>> positions) implements ForwardEvent {
    public SoftwareDeclared {
      positions = Map.copyOf(positions);
    }
  }

  /**
   * Records of streams were read from the store.
   *
   * @param keys streams of each key; empty if it was removed or is unreadable
   */
  record StreamsRecorded(Map<String, Optional<RecordedStreams>> keys) implements ForwardEvent {
    public StreamsRecorded {
      keys = Map.copyOf(keys);
    }
  }

  /**
   * All declarations of software versions and all records of streams that were written before a
   * time are known.
   *
   * @param allBeforeMicros the time, on the decision clock in microseconds
   */
  record OriginsRead(long allBeforeMicros) implements ForwardEvent {}

  /**
   * A write of records of streams has ended.
   *
   * @param isDone whether it is known to be done
   */
  record RecordingEnded(boolean isDone) implements ForwardEvent {}

  /** The output of an attempt's response has begun to arrive. */
  record OutputStarted(long request, int attempt) implements ForwardEvent {}

  /**
   * A check of a server that had broken a connection has ended.
   *
   * @param hasCrashed whether the server refuses connections; false if that is not known
   */
  record ServerChecked(String server, boolean hasCrashed) implements ForwardEvent {}

  /**
   * A peer has announced that a request may have crashed a server.
   *
   * @param crash identifier of the crash, the same for all routers
   */
  record CrashAnnounced(RequestSignature signature, String crash) implements ForwardEvent {}

  /** A peer has announced that keys of requests are not the cause of crashes. */
  record ClearedAnnounced(List<Long> keys) implements ForwardEvent {
    public ClearedAnnounced {
      keys = List.copyOf(keys);
    }
  }

  /**
   * A peer or the store has named a key that is quarantined.
   *
   * @param untilMicros end of the quarantine, on the decision clock in microseconds
   * @param source where this was learned
   */
  record QuarantineLearned(long key, long untilMicros, String source) implements ForwardEvent {}

  /**
   * A peer has announced the limit that a server states.
   *
   * @param incarnation incarnation of the server, from its registry entry
   * @param requestsPerSecond the limit; empty if the server no longer states one
   * @param source name of the peer
   */
  record LimitAnnounced(
      String server, String incarnation, Optional<Double> requestsPerSecond, String source)
      implements ForwardEvent {}

  /**
   * A peer has announced how servers with a window respond.
   *
   * @param source name of the peer
   */
  record PacesAnnounced(List<PacedUpstream> paces, String source) implements ForwardEvent {
    public PacesAnnounced {
      paces = List.copyOf(paces);
    }
  }

  /** A peer has announced its new samples of how fast servers are. */
  record SpeedsAnnounced(List<UpstreamSpeed> speeds) implements ForwardEvent {
    public SpeedsAnnounced {
      speeds = List.copyOf(speeds);
    }
  }

  /**
   * A peer has announced what teams have used of their allowances there.
   *
   * @param router name of the peer
   * @param incarnation incarnation of the peer; grows with each restart
   * @param teams use of the teams that have used or asked for something
   */
  record TeamUseAnnounced(String router, long incarnation, List<UsedAllowance> teams)
      implements ForwardEvent {
    public TeamUseAnnounced {
      teams = List.copyOf(teams);
    }
  }

  /** The routers of the fleet have become known or have changed. */
  record RoutersKnown(RouterFleet fleet) implements ForwardEvent {}

  /**
   * The process is going to end.
   *
   * @param refusesFromMicros time from which callers have had time to move to other routers, in
   *     microseconds
   * @param endsAtMicros latest time at which the process ends, in microseconds
   */
  record Leaving(long refusesFromMicros, long endsAtMicros) implements ForwardEvent {}

  /** Periodic tick, at least every {@link ForwardCore#TICK_INTERVAL_MICROS}. */
  record Tick() implements ForwardEvent {}
}
