package org.shallothook.coordination.forward;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.shallothook.coordination.allowance.AllowanceCheck;
import org.shallothook.coordination.forward.PromptPlacement.Placement;
import org.shallothook.coordination.origin.Origin;
import org.shallothook.coordination.port.Decision;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.coordination.quarantine.CrashEvidence.Assessment;
import org.shallothook.coordination.quarantine.RequestSignature;
import org.shallothook.state.log.WrittenTime;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.route.PromptOutline;
import org.shallothook.state.route.PromptOutline.Part;
import org.shallothook.state.route.RouteTable;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.WeightVersion;

/**
 * Writes the decisions of a forwarding router to the decision journal, each with its inputs.
 *
 * <p>Holds no state other than the journal. Not thread-safe: used on the decision thread.
 */
final class ForwardJournal {
  private final DecisionJournal journal;

  ForwardJournal(DecisionJournal journal) {
    this.journal = journal;
  }

  void removed(String server) {
    journal.write(Decision.SERVER, server, "outcome", "removed");
  }

  void applied(RouteTable table) {
    journal.write(
        Decision.CONFIGURATION, "routes", "version", table.version(), "outcome", "applied");
  }

  void desiredVersion(WeightVersion version, WrittenTime written, long nowMicros) {
    journal.writeDesiredVersion(version, written, nowMicros);
  }

  void listed(ServerEntry entry) {
    journal.write(
        Decision.SERVER,
        entry.id(),
        "service",
        entry.service(),
        "address",
        entry.address(),
        "leaving",
        entry.isLeaving(),
        "versions",
        entry.versions(),
        "software",
        entry.softwareVersion().orElse(""));
  }

  void waiting(PendingRequest request) {
    journal.write(Decision.WAIT, request.head().id(), "service", request.service());
  }

  void sent(PendingRequest request, Server server, Optional<Long> version, long nowMicros) {
    journal.write(
        Decision.SEND,
        request.head().id(),
        "route",
        request.route().name(),
        "server",
        server.name(),
        "attempt",
        request.attempt(),
        "version",
        version.orElse(0L),
        "software",
        server.entry().softwareVersion().orElse(""),
        "resumes",
        request.head().resumedRequest().orElse(""),
        "after",
        request.lastEvent().orElse(-1L),
        "open",
        server.outstanding(),
        "opening",
        request.prefixes().isEmpty()
            ? ""
            : Long.toHexString(PromptPrefix.shared(request.prefixes()).hash()),
        "cached",
        request.placement().map(Placement::cachedTokens).orElse(0),
        "unread",
        request.placement().map(Placement::prefillTokens).orElse(0),
        "source",
        request.placement().flatMap(Placement::fetchFrom).orElse(""),
        "expected_ms",
        request.placement().map(placement -> (long) placement.expectedMicros() / 1_000).orElse(-1L),
        "limit",
        server.limit().map(LimitShare::limitPerSecond).orElse(-1.0),
        "waited_ms",
        millisSince(request.arrivedMicros(), nowMicros));
  }

  void crashed(String crash, CrashDetector.Suspect suspect) {
    journal.write(
        Decision.CRASH,
        suspect.request(),
        "crash",
        crash,
        "content",
        RequestSignature.textOf(suspect.signature().content()),
        "keys",
        suspect.signature().parts().stream()
            .map(RequestSignature::textOf)
            .collect(Collectors.joining(" ")),
        "outcome",
        "recorded");
  }

  /** Logs what the known crashes say about the content of requests or a part of prompts. */
  void assessed(Assessment assessment) {
    journal.write(
        Decision.CRASH,
        RequestSignature.textOf(assessment.key()),
        "outcome",
        assessment.quarantine().isPresent() ? "decided" : "undecided",
        "crashes",
        assessment.crashes(),
        "counted",
        assessment.counted(),
        "required",
        assessment.required(),
        "span_ms",
        TimeUnit.MICROSECONDS.toMillis(assessment.spanMicros()));
  }

  /** Logs that the known crashes no longer count against a key. */
  void cleared(long key, String why) {
    journal.write(
        Decision.CRASH, RequestSignature.textOf(key), "detail", why, "outcome", "cleared");
  }

  void quarantined(long key, String source, int crashes, long durationMicros) {
    journal.write(
        Decision.QUARANTINE,
        RequestSignature.textOf(key),
        "source",
        source,
        "crashes",
        crashes,
        "for_ms",
        TimeUnit.MICROSECONDS.toMillis(durationMicros),
        "outcome",
        "started");
  }

  void quarantineLifted(long key, String why) {
    journal.write(
        Decision.QUARANTINE, RequestSignature.textOf(key), "detail", why, "outcome", "lifted");
  }

  void relayed(PendingRequest request, Server server, ResponseHead response, long nowMicros) {
    journal.write(
        Decision.RELAY,
        request.head().id(),
        "server",
        server.name(),
        "status",
        response.status(),
        "took_ms",
        millisSince(request.sentMicros(), nowMicros));
  }

  void completed(PendingRequest request, long nowMicros) {
    journal.write(
        Decision.COMPLETE,
        request.head().id(),
        "attempts",
        request.attempt(),
        "took_ms",
        millisSince(request.arrivedMicros(), nowMicros));
  }

  void retried(Decision decision, PendingRequest request) {
    journal.write(
        decision,
        request.head().id(),
        "attempt",
        request.attempt() + 1,
        "after_event",
        request.lastEvent().orElse(-1L));
  }

  void callerGone(PendingRequest request, long nowMicros) {
    journal.write(
        Decision.CALLER_GONE,
        request.head().id(),
        "phase",
        request.phase().code(),
        "attempts",
        request.attempt(),
        "after_ms",
        millisSince(request.arrivedMicros(), nowMicros),
        "sent_ms",
        request.attempt() == 0 ? -1L : millisSince(request.sentMicros(), nowMicros));
  }

  /**
   * Logs a response that ends incomplete, with the versions of the configuration that the request
   * was opened with and that is in force.
   */
  void brokenOff(
      PendingRequest request,
      String detail,
      Optional<RouteTable> table,
      long tableAppliedMicros,
      long nowMicros) {
    journal.write(
        Decision.BREAK_OFF,
        request.head().id(),
        "detail",
        detail,
        "attempts",
        request.attempt(),
        "moved",
        request.hasMoved(),
        "opened_with",
        request.configurationVersion(),
        "configuration",
        table.map(RouteTable::version).orElse(0L),
        "configuration_age_ms",
        millisSince(tableAppliedMicros, nowMicros),
        "left_ms",
        -millisSince(request.deadlineMicros(), nowMicros),
        "after_ms",
        millisSince(request.arrivedMicros(), nowMicros));
  }

  void refused(RequestHead head, Refusal refusal, Optional<RouteTable> table) {
    journal.write(
        Decision.REFUSE,
        head.id(),
        "reason",
        refusal.reason().code(),
        "outcome",
        refusal.outcome().headerValue(),
        "detail",
        refusal.detail(),
        "configuration",
        table.map(RouteTable::version).orElse(0L));
  }

  /** Logs what the refusal of a request beyond the allowance of its team was decided by. */
  void beyondAllowance(RequestHead head, String team, AllowanceCheck check, long nowMicros) {
    journal.write(
        Decision.ALLOWANCE,
        head.id(),
        "team",
        team,
        "cost",
        check.cost(),
        "own",
        (long) check.ownLevel(),
        "fleet",
        (long) check.fleetLevel(),
        "share",
        check.share(),
        "oldest_ms",
        check.oldestMicros().map(at -> millisSince(at, nowMicros)).orElse(-1L),
        "retry_ms",
        -millisSince(check.acceptedAtMicros(), nowMicros));
  }

  void failed(PendingRequest request, Server server, String detail, long nowMicros) {
    journal.write(
        Decision.ATTEMPT_FAILED,
        request.head().id(),
        "server",
        server.name(),
        "attempt",
        request.attempt(),
        "detail",
        detail,
        "sent_ms",
        millisSince(request.sentMicros(), nowMicros),
        "began_ms",
        request.respondedMicros().map(at -> millisSince(at, nowMicros)).orElse(-1L),
        "parts",
        sharedParts(request));
  }

  void stalled(PendingRequest request, boolean isMoved, long nowMicros) {
    journal.write(
        Decision.STALL,
        request.head().id(),
        "server",
        request.server().map(Server::name).orElse(""),
        "attempt",
        request.attempt(),
        "outcome",
        isMoved ? "moved" : "kept",
        "began_ms",
        request.respondedMicros().map(at -> millisSince(at, nowMicros)).orElse(-1L));
  }

  /** Returns the identifiers of the parts of a prompt that other prompts may have. */
  private static String sharedParts(PendingRequest request) {
    return request.head().prompt().map(PromptOutline::sharedParts).orElse(List.of()).stream()
        .map(Part::id)
        .collect(Collectors.joining(" "));
  }

  /** Logs the result of the check of a server that had broken connections. */
  void serverChecked(String server, boolean hasCrashed, int suspects) {
    journal.write(
        Decision.CRASH,
        server,
        "outcome",
        hasCrashed ? "confirmed" : "unconfirmed",
        "suspects",
        suspects);
  }

  /** Logs what is known about the software version that began the stream of a request. */
  void origin(PendingRequest request, Origin origin) {
    journal.write(
        Decision.ORIGIN,
        request.head().id(),
        "resumes",
        request.head().resumedRequest().orElse(""),
        "outcome",
        origin.knowledge().code(),
        "software",
        origin.version().orElse(""),
        "age_ms",
        TimeUnit.MICROSECONDS.toMillis(origin.ageMicros()));
  }

  /**
   * Logs that a stream has not been recorded in time.
   *
   * @param software version that began it
   * @param isHeld whether its response goes on waiting
   */
  void originOverdue(PendingRequest request, Optional<String> software, boolean isHeld) {
    journal.write(
        Decision.ORIGIN,
        request.head().id(),
        "outcome",
        isHeld ? "held" : "unrecorded",
        "software",
        software.orElse(""));
  }

  void baseVersion(String service, Optional<String> base, Optional<String> previous) {
    journal.write(
        Decision.SOFTWARE, service, "base", base.orElse(""), "previous", previous.orElse(""));
  }

  void leaving(Server server, PendingRequest request) {
    journal.write(
        Decision.SERVER, server.name(), "outcome", "leaving", "request", request.head().id());
  }

  void closed(Server server, long closedMicros, PendingRequest request) {
    journal.write(
        Decision.SERVER,
        server.name(),
        "outcome",
        "closed",
        "for_ms",
        TimeUnit.MICROSECONDS.toMillis(closedMicros),
        "request",
        request.head().id());
  }

  /**
   * Logs a change of what is known about a server's limit.
   *
   * @param previous limit until now, in requests per second; -1 for none
   * @param source request whose response changed it, or peer that announced the change
   */
  void limit(Server server, String outcome, double previous, String source) {
    journal.write(
        Decision.LIMIT,
        server.name(),
        "outcome",
        outcome,
        "per_second",
        server.limit().map(LimitShare::limitPerSecond).orElse(-1.0),
        "share",
        server.limit().map(LimitShare::sharePerSecond).orElse(-1.0),
        "previous",
        previous,
        "source",
        source);
  }

  /**
   * Logs the start or the end of a server's window.
   *
   * @param source router that announced it, or incarnation of the server
   */
  void pace(Server server, ServerPace pace, String source, long nowMicros) {
    journal.write(
        Decision.PACE,
        server.name(),
        "outcome",
        pace.hasEnded() ? "ended" : "started",
        "cause",
        pace.cause().code(),
        "window",
        pace.window(),
        "share",
        pace.part(),
        "slots",
        server.entry().slots(),
        "lasted_ms",
        millisSince(pace.startedMicros(), nowMicros),
        "in_time",
        pace.inTime(),
        "source",
        source);
  }

  /**
   * Logs that a server has become faster or slower compared with the mean of its service.
   *
   * @param factor time that the server takes for a prefill, divided by that mean
   * @param previous factor in the last line about the server
   * @param samples sum of the weights of the samples of all routers
   * @param ageMillis time since the newest sample
   */
  void speed(Server server, double factor, double previous, double samples, long ageMillis) {
    journal.write(
        Decision.SERVER,
        server.name(),
        "outcome",
        "speed",
        "factor",
        factor,
        "previous",
        previous,
        "samples",
        samples,
        "age_ms",
        ageMillis);
  }

  private static long millisSince(long micros, long nowMicros) {
    return TimeUnit.MICROSECONDS.toMillis(nowMicros - micros);
  }
}
