package org.shallothook.coordination.booking;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothook.coordination.message.ClaimVerdict;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.AppendKind;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.Outbox;
import org.shallothook.state.booking.ClaimEntry;
import org.shallothook.state.booking.ClaimLine;
import org.shallothook.state.booking.ClaimLineText;
import org.shallothook.state.booking.ClaimTable;
import org.shallothook.state.log.LogPage;

/**
 * Appends claims and their ends to one partition on behalf of all sidecars, and responds from what
 * it reads back from the log.
 *
 * <p>Pending lines are batched into one record, and one append is in progress at a time. Two
 * concurrent owners of a partition are harmless: both respond only from the log, in which the claim
 * with the lowest offset wins.
 *
 * <p>Invariant: a claim is granted only after its line was read back from the log as the winning
 * claim. Not thread-safe.
 */
final class PartitionOwner {
  /** Size above which a record takes no further line, in characters. */
  private static final int RECORD_LIMIT_CHARACTERS = 48_000;

  /** Maximum time that an end waits for claims to share a record with, in microseconds. */
  private static final long MAX_END_DELAY_MICROS = 500_000;

  /** Time after which an append or read without a response is considered lost, in microseconds. */
  private static final long LOG_TIMEOUT_MICROS = 2_000_000;

  /**
   * Maximum time between the last read of the log and a request for a response that may change, in
   * microseconds. Beyond it the log is read again first.
   */
  private static final long MAX_STALENESS_MICROS = 300_000;

  /** Interval between two removals of expired entries, in microseconds. */
  private static final long EXPIRY_INTERVAL_MICROS = 60_000_000;

  private final String stream;
  private final Outbox outbox;
  private final ClaimOptions options;
  private final Counters counters;
  private final ClaimReplySender replySender;
  private final ClaimTable table = new ClaimTable();
  private final PartitionLoader loader;
  private final ClaimRewriter rewriter;
  private final Map<String, PendingRequest<PeerMessage.ClaimRequest>> claims =
      new LinkedHashMap<>();
  private final Map<String, PendingRequest<PeerMessage.ClaimEnded>> ends = new LinkedHashMap<>();
  private Optional<Long> openAppend = Optional.empty();
  private boolean isReading;
  private boolean mustRead;
  private long logTimeoutAtMicros;
  private long nextAppendMicros;
  private long lastReadMicros;
  private long lastRequestMicros;
  private long nextExpiryMicros;

  /** A request that has not been answered yet, and when it was received. */
  private record PendingRequest<T>(String requester, T message, long receivedMicros) {}

  PartitionOwner(
      String stream,
      Outbox outbox,
      ClaimOptions options,
      Counters counters,
      ClaimReplySender replySender) {
    this.stream = stream;
    this.outbox = outbox;
    this.options = options;
    this.counters = counters;
    this.replySender = replySender;
    this.loader = new PartitionLoader(stream, outbox, options, table);
    this.rewriter = new ClaimRewriter(table, options);
  }

  /** Returns whether no request is pending and none was received since a time. */
  boolean isIdleSince(long micros) {
    return claims.isEmpty() && ends.isEmpty() && lastRequestMicros < micros;
  }

  int scopeCount() {
    return table.size();
  }

  void onClaim(String requester, PeerMessage.ClaimRequest request, long nowMicros) {
    lastRequestMicros = nowMicros;
    claims.putIfAbsent(request.claim(), new PendingRequest<>(requester, request, nowMicros));
    proceed(nowMicros);
  }

  void onEnded(String requester, PeerMessage.ClaimEnded ended, long nowMicros) {
    lastRequestMicros = nowMicros;
    ends.putIfAbsent(ended.claim(), new PendingRequest<>(requester, ended, nowMicros));
    proceed(nowMicros);
  }

  void onRead(LogPage page, long nowMicros) {
    isReading = false;
    if (!loader.isLoaded()) {
      loader.onRead(page, nowMicros);
    } else {
      page.records().forEach(table::fold);
      table.onRetention(page.firstRetained(), nowMicros - options.retentionMicros());
    }
    if (loader.isLoaded()) {
      boolean isAtEnd = table.nextOffset() >= page.end();
      mustRead = !isAtEnd;
      lastReadMicros = isAtEnd ? nowMicros : lastReadMicros;
    }
    proceed(nowMicros);
  }

  void onReadFailed(long nowMicros) {
    isReading = false;
    counters.increment("claims.read-failures");
    loader.onReadFailed(nowMicros);
    refuseClaims();
  }

  /** Handles the completion of an append; returns whether it was this partition's. */
  boolean onAppended(long token, long nowMicros) {
    if (!isOpenAppend(token)) {
      return false;
    }
    openAppend = Optional.empty();
    rewriter.onAppended();
    mustRead = true;
    proceed(nowMicros);
    return true;
  }

  /** Handles the failure of an append; returns whether it was this partition's. */
  boolean onAppendFailed(long token, boolean mayHaveTakenEffect, long nowMicros) {
    if (!isOpenAppend(token)) {
      return false;
    }
    counters.increment("claims.append-failures");
    openAppend = Optional.empty();
    nextAppendMicros = nowMicros + options.appendIntervalMicros();
    mustRead = true;
    if (!mayHaveTakenEffect) {
      refuseClaims();
    }
    proceed(nowMicros);
    return true;
  }

  void onTick(long nowMicros) {
    if (nowMicros >= nextExpiryMicros) {
      nextExpiryMicros = nowMicros + EXPIRY_INTERVAL_MICROS;
      table.removeOlderThan(nowMicros - options.claimRetentionMicros());
    }
    if (nowMicros >= logTimeoutAtMicros) {
      isReading = false;
      mustRead |= openAppend.isPresent();
      openAppend = Optional.empty();
    }
    proceed(nowMicros);
  }

  private boolean isOpenAppend(long token) {
    return openAppend.filter(open -> open == token).isPresent();
  }

  /** Loads the partition, responds, and reads or appends if that is due. */
  private void proceed(long nowMicros) {
    if (!loader.isLoaded()) {
      loader.onTick(nowMicros);
    }
    if (!loader.isLoaded()) {
      dropExpired(nowMicros);
      return;
    }
    answerDecided();
    dropExpired(nowMicros);
    if (mustRead) {
      read(nowMicros);
    } else if (openAppend.isEmpty() && nowMicros >= nextAppendMicros) {
      append(nowMicros);
    }
  }

  /** Responds to the claims that the table decides and to the ends that are recorded in it. */
  private void answerDecided() {
    boolean isStale = false;
    for (PendingRequest<PeerMessage.ClaimRequest> pending : List.copyOf(claims.values())) {
      Optional<ClaimEntry> entry = table.entry(pending.message().scope());
      Optional<PeerMessage.ClaimAnswer> answer =
          entry.flatMap(found -> answer(pending.message(), found));
      if (answer.isEmpty()) {
        continue;
      }
      boolean canChange = answer.get().verdict() == ClaimVerdict.HELD;
      if (canChange && lastReadMicros < pending.receivedMicros() - MAX_STALENESS_MICROS) {
        isStale = true;
      } else {
        claims.remove(pending.message().claim());
        replySender.send(pending.requester(), answer.get());
      }
    }
    mustRead |= isStale;
    ends.values().removeIf(this::isRecorded);
  }

  /** Returns the reply that an entry decides, or empty if the scope is free to be claimed. */
  private static Optional<PeerMessage.ClaimAnswer> answer(
      PeerMessage.ClaimRequest request, ClaimEntry entry) {
    if (!entry.digest().isEmpty() && !entry.digest().equals(request.digest())) {
      return Optional.of(answer(request, ClaimVerdict.MISMATCH, entry));
    }
    if (entry.outcome().isPresent()) {
      return Optional.of(answer(request, ClaimVerdict.FINISHED, entry));
    }
    if (!entry.isHeld()) {
      return Optional.empty();
    }
    boolean isOwn = entry.claim().equals(request.claim());
    return Optional.of(answer(request, isOwn ? ClaimVerdict.GRANTED : ClaimVerdict.HELD, entry));
  }

  private static PeerMessage.ClaimAnswer answer(
      PeerMessage.ClaimRequest request, ClaimVerdict verdict, ClaimEntry entry) {
    return new PeerMessage.ClaimAnswer(request.claim(), verdict, entry.offset(), entry.outcome());
  }

  /** Returns whether the end is in the log, and if so confirms it to the requester. */
  private boolean isRecorded(PendingRequest<PeerMessage.ClaimEnded> pending) {
    Optional<ClaimEntry> entry = table.entry(pending.message().scope());
    boolean isRecorded =
        pending.message().outcome().isPresent()
            ? entry.isEmpty() || !isUnfinished(entry.get(), pending.message().claim())
            : entry.isPresent() && isReleased(entry.get(), pending.message().claim());
    if (isRecorded) {
      replySender.send(
          pending.requester(), new PeerMessage.ClaimEndRecorded(pending.message().claim()));
    }
    return isRecorded;
  }

  private static boolean isUnfinished(ClaimEntry entry, String claim) {
    return entry.isHeld() && entry.outcome().isEmpty() && entry.claim().equals(claim);
  }

  private static boolean isReleased(ClaimEntry entry, String claim) {
    return entry.outcome().isPresent() || entry.released().contains(claim);
  }

  private void dropExpired(long nowMicros) {
    claims.values().removeIf(pending -> pending.message().deadlineMicros() <= nowMicros);
  }

  /**
   * Refuses all pending claims because the log is unavailable, as their verdict cannot change until
   * it is available again. A scope that is certainly unclaimed is reported as such, so that the
   * call is known not to have run; others are undecided.
   */
  private void refuseClaims() {
    for (PendingRequest<PeerMessage.ClaimRequest> pending : List.copyOf(claims.values())) {
      boolean isUnclaimed =
          loader.isLoaded()
              && isTableConclusive(pending.message())
              && table.entry(pending.message().scope()).filter(ClaimEntry::isHeld).isEmpty();
      ClaimVerdict verdict =
          isUnclaimed ? ClaimVerdict.UNAVAILABLE_UNCLAIMED : ClaimVerdict.UNDECIDED;
      refuse(pending, verdict);
    }
  }

  private void refuse(PendingRequest<PeerMessage.ClaimRequest> pending, ClaimVerdict verdict) {
    claims.remove(pending.message().claim());
    replySender.send(
        pending.requester(),
        new PeerMessage.ClaimAnswer(pending.message().claim(), verdict, 0, Optional.empty()));
  }

  private void read(long nowMicros) {
    if (!isReading) {
      isReading = true;
      logTimeoutAtMicros = nowMicros + LOG_TIMEOUT_MICROS;
      outbox.readLog(stream, table.nextOffset());
    }
  }

  private void append(long nowMicros) {
    boolean isEndDue =
        ends.values().stream()
            .anyMatch(end -> nowMicros >= end.receivedMicros() + MAX_END_DELAY_MICROS);
    List<ClaimLine> lines = new ArrayList<>();
    if (isTableComplete()) {
      lines.addAll(rewriter.linesDue(nowMicros));
    }
    AppendKind kind = AppendKind.SNAPSHOTS;
    for (PendingRequest<PeerMessage.ClaimRequest> pending : List.copyOf(claims.values())) {
      if (isTableConclusive(pending.message())) {
        lines.add(claimLine(pending.message()));
        kind = AppendKind.CLAIMS;
      } else {
        refuse(pending, ClaimVerdict.UNDECIDED);
      }
    }
    if (!lines.isEmpty() || isEndDue) {
      kind = kind == AppendKind.SNAPSHOTS && !ends.isEmpty() ? AppendKind.OUTCOMES : kind;
      ends.values().forEach(pending -> lines.add(endLine(pending.message())));
    }
    if (!lines.isEmpty()) {
      nextAppendMicros = nowMicros + options.appendIntervalMicros();
      logTimeoutAtMicros = nowMicros + LOG_TIMEOUT_MICROS;
      openAppend = Optional.of(outbox.appendLog(kind, stream, record(lines)));
    }
  }

  /**
   * Returns whether a claim of this key would be in the table if it existed. If the table does not
   * hold all claims that have not expired, this is certain only for a key created after the time
   * from which the table is complete.
   */
  private boolean isTableConclusive(PeerMessage.ClaimRequest request) {
    return isTableComplete()
        || request
            .keyCreatedAtMicros()
            .filter(
                createdMicros ->
                    createdMicros - options.clockSkewMicros() > table.coveredSinceMicros())
            .isPresent();
  }

  /** Returns whether the table holds all claims that have not expired. */
  private boolean isTableComplete() {
    return table.coveredSinceMicros()
        <= Math.max(0, lastReadMicros - options.claimRetentionMicros());
  }

  /** Joins as many lines as fit into a record. */
  private String record(List<ClaimLine> lines) {
    StringBuilder record = new StringBuilder();
    for (ClaimLine line : lines) {
      if (record.length() < RECORD_LIMIT_CHARACTERS) {
        record.append(record.isEmpty() ? "" : "\n").append(ClaimLineText.write(line));
        counters.increment("claims.lines");
      }
    }
    return record.toString();
  }

  private static ClaimLine claimLine(PeerMessage.ClaimRequest request) {
    return new ClaimLine.Claim(request.scope(), request.digest(), request.claim());
  }

  private static ClaimLine endLine(PeerMessage.ClaimEnded ended) {
    return ended
        .outcome()
        .<ClaimLine>map(outcome -> new ClaimLine.Finished(ended.scope(), ended.claim(), outcome))
        .orElseGet(() -> new ClaimLine.Released(ended.scope(), ended.claim()));
  }
}
