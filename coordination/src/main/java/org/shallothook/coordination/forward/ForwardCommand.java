package org.shallothook.coordination.forward;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothook.coordination.message.PeerMessage.PacedUpstream;
import org.shallothook.coordination.message.PeerMessage.UpstreamSpeed;
import org.shallothook.coordination.message.PeerMessage.UsedAllowance;
import org.shallothook.coordination.origin.RecordedStreams;
import org.shallothook.coordination.origin.SoftwareVersion;
import org.shallothook.coordination.quarantine.RequestSignature;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.route.CallerLimits;

/**
 * Command of a forwarding router to its transport and peers.
 *
 * <p>All commands are immutable and thread-safe.
 */
public sealed interface ForwardCommand {

  /** Send a request to a server. */
  record Send(long request, int attempt, Dispatch dispatch) implements ForwardCommand {}

  /**
   * Relay the response of an attempt to the caller as it arrives.
   *
   * @param stallMicros silence of the server after which the attempt counts as stalled, in
   *     microseconds; empty if the stream can never be resumed at another server
   */
  record Relay(long request, int attempt, Optional<Long> stallMicros) implements ForwardCommand {}

  /** End a stalled attempt as broken, unless output has arrived since. */
  record GiveUp(long request, int attempt) implements ForwardCommand {}

  /** Drop an attempt and close its connection, unless its response has been received completely. */
  record Drop(long request, int attempt) implements ForwardCommand {}

  /** Respond to the caller with a refusal. */
  record Refuse(long request, Refusal refusal) implements ForwardCommand {}

  /** Abort a response that has started, in a way that shows the caller that it is incomplete. */
  record BreakOff(long request, String detail) implements ForwardCommand {}

  /**
   * Announce to the other routers that a server or the cache store will hold the given prefixes.
   *
   * @param server identity of the server, or address of the store
   * @param prefixHashes hashes of the prefixes
   */
  record AnnouncePrefixes(String server, List<Long> prefixHashes) implements ForwardCommand {
    public AnnouncePrefixes {
      prefixHashes = List.copyOf(prefixHashes);
    }
  }

  /** Check whether a server that has broken a connection still accepts new ones. */
  record CheckServer(String server, String address) implements ForwardCommand {}

  /**
   * Announce to the other routers that a request may have crashed a server.
   *
   * @param crash identifier of the crash, the same for all routers
   */
  record AnnounceCrash(RequestSignature signature, String crash) implements ForwardCommand {}

  /** Announce to the other routers that keys of requests are not the cause of crashes. */
  record AnnounceCleared(List<Long> keys) implements ForwardCommand {
    public AnnounceCleared {
      keys = List.copyOf(keys);
    }
  }

  /**
   * Announce to the other routers which keys are quarantined.
   *
   * @param untilMicros end of the quarantine of each key, on the decision clock in microseconds
   */
  record AnnounceQuarantines(Map<Long, Long> untilMicros) implements ForwardCommand {
    public AnnounceQuarantines {
      untilMicros = Map.copyOf(untilMicros);
    }
  }

  /**
   * Write or remove a quarantine in the store.
   *
   * @param untilMicros end of the quarantine, on the decision clock in microseconds; empty removes
   *     it
   */
  record StoreQuarantine(long key, Optional<Long> untilMicros) implements ForwardCommand {}

  /**
   * Announce to the other routers that a server is shutting down.
   *
   * @param incarnation incarnation of the server, from its registry entry
   */
  record AnnounceLeaving(String server, String incarnation) implements ForwardCommand {}

  /**
   * Announce to the other routers the limit that a server states.
   *
   * @param incarnation incarnation of the server, from its registry entry
   * @param requestsPerSecond the limit; empty if the server no longer states one
   */
  record AnnounceLimit(String server, String incarnation, Optional<Double> requestsPerSecond)
      implements ForwardCommand {}

  /** Announce to the other routers how servers with a window respond. */
  record AnnouncePaces(List<PacedUpstream> paces) implements ForwardCommand {
    public AnnouncePaces {
      paces = List.copyOf(paces);
    }
  }

  /** Announce to the other routers the new samples of how fast servers are. */
  record AnnounceSpeeds(List<UpstreamSpeed> speeds) implements ForwardCommand {
    public AnnounceSpeeds {
      speeds = List.copyOf(speeds);
    }
  }

  /** Read which software versions are declared and which streams are recorded, without delay. */
  record ReadOrigins() implements ForwardCommand {}

  /**
   * Declare software versions in the store, unless it has declarations that are not known here.
   *
   * @param positions position of each version among those of its service; empty withdraws it
   */
  record DeclareSoftware(Map<SoftwareVersion, Optional<Long>> positions) implements ForwardCommand {
    public DeclareSoftware {
      positions = Map.copyOf(positions);
    }
  }

  /**
   * Record in the store which software version began streams.
   *
   * @param keys streams of each key; empty removes it
   */
  record RecordStreams(Map<String, Optional<RecordedStreams>> keys) implements ForwardCommand {
    public RecordStreams {
      keys = Map.copyOf(keys);
    }
  }

  /**
   * Announce to the other routers what teams have used of their allowances here.
   *
   * @param teams use of the teams that have used or asked for something
   */
  record AnnounceTeamUse(List<UsedAllowance> teams) implements ForwardCommand {
    public AnnounceTeamUse {
      teams = List.copyOf(teams);
    }
  }

  /** Apply the limits on what callers may send. */
  record Limit(CallerLimits limits) implements ForwardCommand {}
}
