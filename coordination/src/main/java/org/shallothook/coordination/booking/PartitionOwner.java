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
 * Appends claims and their ends to one partition for all who ask, and answers from what it reads
 * back.
 *
 * <p>Lines that wait go into one record, and one append is open at a time. Two keepers of one
 * partition at once are harmless: both answer only from the log, in which the first claim by offset
 * counts.
 *
 * <p>Invariant: a claim is granted only after its line was read back as the one that counts. Not
 * thread-safe.
 */
final class PartitionOwner {
  /** Size above which a record takes no further line, in characters. */
  private static final int RECORD_CHARACTERS = 48_000;

  /** Longest wait of an end for claims to share its record, in microseconds. */
  private static final long END_PATIENCE_MICROS = 500_000;

  /** Time after which an append or read without an answer is given up, in microseconds. */
  private static final long ANSWER_PATIENCE_MICROS = 2_000_000;

  /** Age of what was read last above which an answer that can change is read anew. */
  private static final long FRESH_MICROS = 300_000;

  private static final long FORGET_INTERVAL_MICROS = 60_000_000;

  private final String stream;
  private final Outbox outbox;
  private final ClaimOptions options;
  private final Counters counters;
  private final ClaimReplies replies;
  private final ClaimTable table = new ClaimTable();
  private final PartitionLoader loader;
  private final ClaimRewriter rewriter;
  private final Map<String, Waiting<PeerMessage.ClaimRequest>> claims = new LinkedHashMap<>();
  private final Map<String, Waiting<PeerMessage.ClaimEnded>> ends = new LinkedHashMap<>();
  private Optional<Long> openAppend = Optional.empty();
  private boolean isReading;
  private boolean mustRead;
  private long giveUpMicros;
  private long nextAppendMicros;
  private long lastReadMicros;
  private long lastUseMicros;
  private long nextForgetMicros;

  private record Waiting<T>(String asker, T message, long sinceMicros) {}

  PartitionOwner(
      String stream, Outbox outbox, ClaimOptions options, Counters counters, ClaimReplies replies) {
    this.stream = stream;
    this.outbox = outbox;
    this.options = options;
    this.counters = counters;
    this.replies = replies;
    this.loader = new PartitionLoader(stream, outbox, options, table);
    this.rewriter = new ClaimRewriter(table, options);
  }

  /** Returns whether nothing waits here and nobody has asked for a time. */
  boolean isIdleSince(long micros) {
    return claims.isEmpty() && ends.isEmpty() && lastUseMicros < micros;
  }

  int scopes() {
    return table.size();
  }

  void onClaim(String asker, PeerMessage.ClaimRequest request, long nowMicros) {
    lastUseMicros = nowMicros;
    claims.putIfAbsent(request.claim(), new Waiting<>(asker, request, nowMicros));
    proceed(nowMicros);
  }

  void onEnded(String asker, PeerMessage.ClaimEnded ended, long nowMicros) {
    lastUseMicros = nowMicros;
    ends.putIfAbsent(ended.claim(), new Waiting<>(asker, ended, nowMicros));
    proceed(nowMicros);
  }

  void onRead(LogPage page, long nowMicros) {
    isReading = false;
    if (!loader.isLoaded()) {
      loader.onRead(page, nowMicros);
    } else {
      page.records().forEach(table::fold);
      table.noteRetention(page.firstRetained(), nowMicros - options.retentionMicros());
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
    refuseWaiting();
  }

  /** Takes the answer to an append; returns whether it was this partition's. */
  boolean onAppended(long token, long nowMicros) {
    if (!isOpen(token)) {
      return false;
    }
    openAppend = Optional.empty();
    rewriter.onAppended();
    mustRead = true;
    proceed(nowMicros);
    return true;
  }

  /** Takes the failure of an append; returns whether it was this partition's. */
  boolean onAppendFailed(long token, boolean mayHaveTakenEffect, long nowMicros) {
    if (!isOpen(token)) {
      return false;
    }
    counters.increment("claims.append-failures");
    openAppend = Optional.empty();
    nextAppendMicros = nowMicros + options.appendIntervalMicros();
    mustRead = true;
    if (!mayHaveTakenEffect) {
      refuseWaiting();
    }
    proceed(nowMicros);
    return true;
  }

  void onTick(long nowMicros) {
    if (nowMicros >= nextForgetMicros) {
      nextForgetMicros = nowMicros + FORGET_INTERVAL_MICROS;
      table.forgetBefore(nowMicros - options.memoryMicros());
    }
    if (nowMicros >= giveUpMicros) {
      isReading = false;
      mustRead |= openAppend.isPresent();
      openAppend = Optional.empty();
    }
    proceed(nowMicros);
  }

  private boolean isOpen(long token) {
    return openAppend.filter(open -> open == token).isPresent();
  }

  private void proceed(long nowMicros) {
    if (!loader.isLoaded()) {
      loader.onTick(nowMicros);
    }
    if (!loader.isLoaded()) {
      dropOverdue(nowMicros);
      return;
    }
    answerKnown();
    dropOverdue(nowMicros);
    if (mustRead) {
      read(nowMicros);
    } else if (openAppend.isEmpty() && nowMicros >= nextAppendMicros) {
      append(nowMicros);
    }
  }

  private void answerKnown() {
    boolean isStale = false;
    for (Waiting<PeerMessage.ClaimRequest> waiting : List.copyOf(claims.values())) {
      Optional<ClaimEntry> entry = table.entry(waiting.message().scope());
      Optional<PeerMessage.ClaimAnswer> answer =
          entry.flatMap(known -> answer(waiting.message(), known));
      if (answer.isEmpty()) {
        continue;
      }
      boolean canChange = answer.get().verdict() == ClaimVerdict.HELD;
      if (canChange && lastReadMicros < waiting.sinceMicros() - FRESH_MICROS) {
        isStale = true;
      } else {
        claims.remove(waiting.message().claim());
        replies.send(waiting.asker(), answer.get());
      }
    }
    mustRead |= isStale;
    ends.values().removeIf(this::isRecorded);
  }

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

  private boolean isRecorded(Waiting<PeerMessage.ClaimEnded> waiting) {
    Optional<ClaimEntry> entry = table.entry(waiting.message().scope());
    boolean isRecorded =
        waiting.message().outcome().isPresent()
            ? entry.isEmpty() || !isOpen(entry.get(), waiting.message().claim())
            : entry.isPresent() && isGivenBack(entry.get(), waiting.message().claim());
    if (isRecorded) {
      replies.send(waiting.asker(), new PeerMessage.ClaimEndRecorded(waiting.message().claim()));
    }
    return isRecorded;
  }

  private static boolean isOpen(ClaimEntry entry, String claim) {
    return entry.isHeld() && entry.outcome().isEmpty() && entry.claim().equals(claim);
  }

  private static boolean isGivenBack(ClaimEntry entry, String claim) {
    return entry.outcome().isPresent() || entry.released().contains(claim);
  }

  private void dropOverdue(long nowMicros) {
    claims.values().removeIf(waiting -> waiting.message().deadlineMicros() <= nowMicros);
  }

  /** Answers, while the log is down, those whose answer cannot change before it is up again. */
  private void refuseWaiting() {
    for (Waiting<PeerMessage.ClaimRequest> waiting : List.copyOf(claims.values())) {
      boolean isUnclaimed =
          loader.isLoaded()
              && isProven(waiting.message())
              && table.entry(waiting.message().scope()).filter(ClaimEntry::isHeld).isEmpty();
      ClaimVerdict verdict =
          isUnclaimed ? ClaimVerdict.UNAVAILABLE_UNCLAIMED : ClaimVerdict.UNDECIDED;
      refuse(waiting, verdict);
    }
  }

  private void refuse(Waiting<PeerMessage.ClaimRequest> waiting, ClaimVerdict verdict) {
    claims.remove(waiting.message().claim());
    replies.send(
        waiting.asker(),
        new PeerMessage.ClaimAnswer(waiting.message().claim(), verdict, 0, Optional.empty()));
  }

  private void read(long nowMicros) {
    if (!isReading) {
      isReading = true;
      giveUpMicros = nowMicros + ANSWER_PATIENCE_MICROS;
      outbox.readLog(stream, table.nextOffset());
    }
  }

  private void append(long nowMicros) {
    boolean isEndDue =
        ends.values().stream().anyMatch(e -> nowMicros >= e.sinceMicros() + END_PATIENCE_MICROS);
    List<ClaimLine> lines = new ArrayList<>();
    if (isWhole()) {
      lines.addAll(rewriter.linesDue(nowMicros));
    }
    AppendKind kind = AppendKind.SNAPSHOTS;
    for (Waiting<PeerMessage.ClaimRequest> waiting : List.copyOf(claims.values())) {
      if (isProven(waiting.message())) {
        lines.add(claimLine(waiting.message()));
        kind = AppendKind.CLAIMS;
      } else {
        refuse(waiting, ClaimVerdict.UNDECIDED);
      }
    }
    if (!lines.isEmpty() || isEndDue) {
      kind = kind == AppendKind.SNAPSHOTS && !ends.isEmpty() ? AppendKind.OUTCOMES : kind;
      ends.values().forEach(waiting -> lines.add(endLine(waiting.message())));
    }
    if (!lines.isEmpty()) {
      nextAppendMicros = nowMicros + options.appendIntervalMicros();
      giveUpMicros = nowMicros + ANSWER_PATIENCE_MICROS;
      openAppend = Optional.of(outbox.appendLog(kind, stream, record(lines)));
    }
  }

  /** Without all claims within memory, only a key younger than those known is surely unclaimed. */
  private boolean isProven(PeerMessage.ClaimRequest request) {
    return isWhole()
        || request
            .keyCreatedAtMicros()
            .filter(made -> made - options.clockSkewMicros() > table.coveredSinceMicros())
            .isPresent();
  }

  private boolean isWhole() {
    return table.coveredSinceMicros() <= Math.max(0, lastReadMicros - options.memoryMicros());
  }

  private String record(List<ClaimLine> lines) {
    StringBuilder record = new StringBuilder();
    for (ClaimLine line : lines) {
      if (record.length() < RECORD_CHARACTERS) {
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
