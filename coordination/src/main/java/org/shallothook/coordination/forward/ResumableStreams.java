package org.shallothook.coordination.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.shallothook.coordination.origin.Origin;
import org.shallothook.coordination.origin.OriginDirectory;
import org.shallothook.coordination.origin.RecordedStreams;
import org.shallothook.coordination.origin.SoftwareVersion;
import org.shallothook.state.route.RouteTable;

/**
 * Lets callers resume streams at the software version that began them, at any router.
 *
 * <p>Streams that others cannot know of are recorded in the store. Their responses wait for that:
 * for a bounded time, or for as long as another router could take the stream for one of another
 * version. The store is read when a stream is to be resumed, once for all requests that wait for
 * it.
 *
 * <p>Invariant: at most one read is asked for at a time. Not thread-safe.
 */
final class ResumableStreams {
  /** Time between two looks at which software versions are listed, in microseconds. */
  private static final long LISTING_INTERVAL_MICROS = 1_000_000;

  /** Version of a stream that was begun at a server whose version cannot be read. */
  private static final String UNREADABLE = "";

  private final OriginDirectory directory;
  private final Consumer<ForwardCommand> commands;
  private final ForwardJournal journal;
  private final ForwardOptions options;
  private final Map<Long, HeldResponse> heldResponses = new HashMap<>();
  private Set<String> services = Set.of();
  private boolean isReadRequested;
  private long nextListingMicros = Long.MIN_VALUE / 2;

  /**
   * The head of a response that waits until its stream is recorded.
   *
   * @param untilMicros when the record is overdue, in microseconds
   * @param isOverdue whether it has been logged that the record is overdue
   */
  record HeldResponse(int attempt, ResponseHead head, long untilMicros, boolean isOverdue) {
    HeldResponse overdue() {
      return new HeldResponse(attempt, head, untilMicros, true);
    }
  }

  ResumableStreams(
      ForwardOptions options,
      SplittableRandom random,
      Consumer<ForwardCommand> commands,
      ForwardJournal journal) {
    this.directory = new OriginDirectory(options.router(), options.timeOfDayMicros(), random);
    this.options = options;
    this.commands = commands;
    this.journal = journal;
  }

  void onRoutes(RouteTable table) {
    directory.onResumableTime(table.longestResumableMicros());
    services = table.resumableServices();
    nextListingMicros = Long.MIN_VALUE / 2;
  }

  /** Applies the servers that are listed, or that still have open requests. */
  void onServers(Iterable<Server> servers, long nowMicros) {
    Set<SoftwareVersion> listed = new HashSet<>();
    for (Server server : servers) {
      String service = server.entry().service();
      if (services.contains(service)) {
        server
            .entry()
            .softwareVersion()
            .ifPresent(version -> listed.add(new SoftwareVersion(service, version)));
      }
    }
    directory.onListed(listed, nowMicros);
    nextListingMicros = nowMicros + LISTING_INTERVAL_MICROS;
    if (directory.needsRead()) {
      requestRead();
    }
  }

  void onReachable(boolean isReachable, long nowMicros) {
    directory.onReachable(isReachable, nowMicros);
  }

  void onRestored(long nowMicros) {
    directory.onRestored(nowMicros);
  }

  void onDeclared(Map<SoftwareVersion, Optional<Long>> positions, long nowMicros) {
    positions.forEach(
        (version, position) -> {
          Optional<String> previous = directory.base(version.service());
          directory.onDeclared(version, position, nowMicros);
          Optional<String> base = directory.base(version.service());
          if (!base.equals(previous)) {
            journal.baseVersion(version.service(), base, previous);
          }
        });
  }

  void onRecorded(Map<String, Optional<RecordedStreams>> keys) {
    keys.forEach(directory::onRecorded);
  }

  /** Records that all declarations and records written before a time are known. */
  void onRead(long allBeforeMicros) {
    options.counters().increment("streams.origin-reads");
    isReadRequested = false;
    directory.onRead(allBeforeMicros);
    if (directory.needsRead()) {
      requestRead();
    }
  }

  void onWritten(boolean isDone) {
    options.counters().increment(isDone ? "streams.origin-writes" : "streams.origin-write-failed");
    directory.onWritten(isDone);
  }

  /** Declares versions and records streams, if that is due. */
  void onTick(Iterable<Server> servers, int routers, long nowMicros) {
    if (nowMicros >= nextListingMicros) {
      onServers(servers, nowMicros);
    }
    Map<SoftwareVersion, Optional<Long>> declarations =
        directory.declarationsDue(routers, nowMicros);
    if (!declarations.isEmpty()) {
      commands.accept(new ForwardCommand.DeclareSoftware(declarations));
      requestRead();
    }
    Map<String, Optional<RecordedStreams>> records = directory.recordsDue(routers, nowMicros);
    if (!records.isEmpty()) {
      commands.accept(new ForwardCommand.RecordStreams(records));
    }
  }

  /** Returns whether it matters which software version began the stream of a new request. */
  boolean isResumed(PendingRequest request) {
    boolean continues =
        request.head().resumesAfter().isPresent() || request.head().resumedRequest().isPresent();
    return continues && request.route().isResumable() && directory.knowsVersions(request.service());
  }

  /**
   * Returns what is known about the software version that began the stream of a request; asks for a
   * read of the store if that is needed.
   */
  Origin find(PendingRequest request, long nowMicros) {
    Origin origin =
        directory.find(
            request.head().resumedRequest(), request.service(), request.arrivedMicros(), nowMicros);
    if (origin.knowledge() == Origin.Knowledge.AWAITED) {
      requestRead();
    } else {
      options.counters().increment("streams.origin-" + origin.knowledge().code());
      journal.origin(request, origin);
    }
    return origin.version().filter(UNREADABLE::equals).isPresent()
        ? new Origin(Origin.Knowledge.UNKNOWN, Optional.empty(), origin.ageMicros())
        : origin;
  }

  /** Notes that a request is being sent to a server, which may begin its stream. */
  void onSent(PendingRequest request, Server server, long nowMicros) {
    if (request.route().isResumable()
        && !request.hasStartedResponse()
        && directory.knowsVersions(request.service())) {
      String version = SoftwareOrigin.of(server).softwareVersion().orElse(UNREADABLE);
      directory.onBegun(
          request.head().id(), new SoftwareVersion(request.service(), version), nowMicros);
    }
  }

  /** Returns the servers at which a new stream of a request should be begun. */
  List<Server> preferred(PendingRequest request, List<Server> usable, long nowMicros) {
    if (!request.route().isResumable() || !directory.prefersBase(nowMicros)) {
      return usable;
    }
    Optional<String> base = directory.base(request.service());
    List<Server> ofBase =
        usable.stream()
            .filter(server -> base.isPresent() && server.entry().softwareVersion().equals(base))
            .toList();
    return ofBase.isEmpty() ? usable : ofBase;
  }

  /** Lets a response wait until its stream is recorded; returns false if it need not. */
  boolean hold(PendingRequest request, ResponseHead response, long nowMicros) {
    boolean mustWait =
        request.route().isResumable()
            && response.isSuccess()
            && !request.hasStartedResponse()
            && directory.isPending(request.head().id());
    if (mustWait) {
      long untilMicros = nowMicros + OriginDirectory.RECORD_WAIT_MICROS;
      heldResponses.put(
          request.number(), new HeldResponse(request.attempt(), response, untilMicros, false));
    }
    return mustWait;
  }

  /**
   * Returns the response of a request that need not wait any longer, and forgets it; empty if the
   * request has none or it must still wait.
   *
   * <p>A stream without a record goes on at the base version if another router resumes it. So the
   * response of a stream of another version waits for as long as the caller does, unless all listed
   * servers of the base version are leaving.
   */
  Optional<ResponseHead> release(PendingRequest request, ServerDirectory servers, long nowMicros) {
    HeldResponse held = heldResponses.get(request.number());
    if (held == null) {
      return Optional.empty();
    }
    boolean isPresent = request.isAtServer() && held.attempt() == request.attempt();
    boolean isPending = directory.isPending(request.head().id());
    if (isPresent && isPending && mustWait(request, held, servers, nowMicros)) {
      return Optional.empty();
    }
    heldResponses.remove(request.number());
    return isPresent ? Optional.of(held.head()) : Optional.empty();
  }

  /** Returns whether the response of an unrecorded stream must wait; logs when it is overdue. */
  private boolean mustWait(
      PendingRequest request, HeldResponse held, ServerDirectory servers, long nowMicros) {
    if (nowMicros < held.untilMicros()) {
      return true;
    }
    boolean isMistakable = isMistakable(request, servers, nowMicros);
    if (!held.isOverdue()) {
      options.counters().increment("streams.origin-overdue");
      journal.originOverdue(request, directory.begunVersion(request.head().id()), isMistakable);
      heldResponses.put(request.number(), held.overdue());
    }
    return isMistakable;
  }

  /** Returns whether other routers may take an unrecorded stream for one of another version. */
  private boolean isMistakable(PendingRequest request, ServerDirectory servers, long nowMicros) {
    Optional<String> begun = directory.begunVersion(request.head().id());
    Optional<String> base = directory.base(request.service());
    return servers.hasListed(
        request.service(),
        server -> {
          Optional<String> version = server.entry().softwareVersion();
          boolean isOther = !version.equals(begun) && (base.isEmpty() || version.equals(base));
          return isOther && !server.entry().isLeaving();
        },
        nowMicros);
  }

  /** Returns the numbers of the requests whose responses wait. */
  List<Long> held() {
    return List.copyOf(heldResponses.keySet());
  }

  /** Forgets the response of a request that has ended. */
  void forget(long request) {
    heldResponses.remove(request);
  }

  private void requestRead() {
    if (!isReadRequested) {
      isReadRequested = true;
      commands.accept(new ForwardCommand.ReadOrigins());
    }
  }
}
