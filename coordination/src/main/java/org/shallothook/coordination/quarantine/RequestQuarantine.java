package org.shallothook.coordination.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import org.shallothook.coordination.message.PeerMessage.Quarantine;
import org.shallothook.coordination.port.AppendKind;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.Outbox;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.log.LogRecord;

/**
 * Quarantines requests that crash engines, in all routers.
 *
 * <p>A quarantine is appended to the log and also gossiped between routers, so that it spreads
 * while the log is unavailable. Each router forwards a new record once, to {@value #GOSSIP_PEERS}
 * others.
 *
 * <p>Invariant: a whole request is quarantined only if it ran alone on an engine that crashed, a
 * part of requests only by {@link CrashEvidence}. Not thread-safe.
 */
public final class RequestQuarantine {
  private static final int GOSSIP_PEERS = 4;
  private static final long MAXIMUM_FIRST_READ_DELAY_MICROS = 500_000;
  private static final long READ_INTERVAL_MICROS = 5_000_000;
  private static final long APPEND_RETRY_INTERVAL_MICROS = 5_000_000;

  private final Outbox outbox;
  private final Counters counters;
  private final Supplier<List<String>> routers;
  private final SplittableRandom random;
  private final long quarantineMicros;
  private final QuarantineRegister register = new QuarantineRegister();
  private final CrashSuspects suspects;
  private final CrashEvidence evidence;
  private final Map<Long, QuarantineRecord> pendingAppends = new HashMap<>();
  private final List<QuarantineRecord> failedAppends = new ArrayList<>();
  private long nextAppendRetryMicros;
  private long nextReadMicros;
  private long nextOffset;

  /**
   * Creates a guard without suspects and quarantines.
   *
   * @param outbox sends to the log and to peers
   * @param counters counts suspects and quarantines
   * @param routers supplies the names of the other routers
   * @param random seeded source of jitter
   * @param quarantineMicros time for which a request is quarantined or a suspect, in microseconds
   */
  public RequestQuarantine(
      Outbox outbox,
      Counters counters,
      Supplier<List<String>> routers,
      SplittableRandom random,
      long quarantineMicros) {
    this.outbox = outbox;
    this.counters = counters;
    this.routers = routers;
    this.random = random;
    this.quarantineMicros = quarantineMicros;
    this.suspects = new CrashSuspects(quarantineMicros);
    this.evidence = new CrashEvidence(quarantineMicros);
  }

  /** Returns whether the request is a suspect and must run alone on an engine. */
  public boolean isSuspect(String fingerprint, long nowMicros) {
    return suspects.isSuspect(fingerprint, nowMicros);
  }

  /** Returns the end of the quarantine of the request or a part of it, if one is in force. */
  public Optional<Long> quarantinedUntil(
      String fingerprint, RequestSignature signature, long nowMicros) {
    return register
        .quarantinedUntil(fingerprint, nowMicros)
        .or(() -> evidence.check(signature, nowMicros).map(CrashEvidence.Quarantine::untilMicros));
  }

  /** Returns the number of requests in quarantine. */
  public int quarantinedCount() {
    return register.size();
  }

  /**
   * Records the crash of an engine that ran the request.
   *
   * @param fingerprint digest of the request
   * @param ranAlone whether it was the only request on the engine and was already a suspect
   * @param homes upstreams that the request would be offered to next; they are notified immediately
   * @param nowMicros time of the crash
   * @return end of the request's quarantine, if this crash caused one
   */
  public Optional<Long> onCrash(
      String fingerprint, boolean ranAlone, List<String> homes, long nowMicros) {
    if (!suspects.onCrash(fingerprint, ranAlone, nowMicros)) {
      counters.increment("quarantine.suspects");
      return Optional.empty();
    }
    counters.increment("quarantine.convictions");
    QuarantineRecord record = new QuarantineRecord(fingerprint, nowMicros + quarantineMicros);
    register.add(fingerprint, record.untilMicros(), nowMicros);
    append(record);
    homes.forEach(home -> outbox.send(home, messageOf(record)));
    gossip(record);
    return Optional.of(record.untilMicros());
  }

  /**
   * Counts the crash of an engine against the parts of a request that it ran. Requests of which no
   * two are alike never crash an engine twice, but the part that they share does.
   *
   * @param crash identifier of the crash, the same for all requests on the engine
   */
  public void onCrashSeen(String crash, RequestSignature signature, long nowMicros) {
    evidence.onCrash(crash, signature, nowMicros);
  }

  /** Clears a request that has completed, and its parts. */
  public void onCompleted(String fingerprint, RequestSignature signature, long nowMicros) {
    suspects.onCompleted(fingerprint);
    evidence.onSurvived(signature, nowMicros);
  }

  /** Records a quarantine announced by a peer, and forwards it if it is new. */
  public void onMessage(Quarantine message, long nowMicros) {
    QuarantineRecord record = new QuarantineRecord(message.fingerprint(), message.untilMicros());
    if (adopt(record, nowMicros)) {
      counters.increment("quarantine.learned");
      gossip(record);
    }
  }

  /** Applies quarantine records read from the log; ignores pages of other streams. */
  public void onLogRead(LogPage page, long nowMicros) {
    if (!page.stream().equals(QuarantineRecord.STREAM)) {
      return;
    }
    for (LogRecord logRecord : page.records()) {
      QuarantineRecord.fromPayload(logRecord.payload())
          .ifPresent(record -> adopt(record, nowMicros));
    }
    nextOffset = page.nextOffset();
    if (nextOffset < page.end()) {
      outbox.readLog(QuarantineRecord.STREAM, nextOffset);
    }
  }

  /** Records that an append has succeeded. */
  public void onAppended(long token) {
    pendingAppends.remove(token);
  }

  /** Schedules a failed append for a retry, since a duplicate record is harmless. */
  public void onAppendFailed(long token, long nowMicros) {
    QuarantineRecord record = pendingAppends.remove(token);
    if (record != null) {
      failedAppends.add(record);
      nextAppendRetryMicros = nowMicros + APPEND_RETRY_INTERVAL_MICROS;
    }
  }

  private boolean adopt(QuarantineRecord record, long nowMicros) {
    return record
        .part()
        .map(part -> evidence.onQuarantined(part, record.untilMicros(), nowMicros))
        .orElseGet(() -> register.add(record.fingerprint(), record.untilMicros(), nowMicros));
  }

  /** Quarantines the parts that the crashes so far decide on. */
  private void decideOnParts(long nowMicros) {
    List<CrashEvidence.Quarantine> started =
        evidence.decide(nowMicros).stream()
            .flatMap(assessment -> assessment.quarantine().stream())
            .toList();
    for (CrashEvidence.Quarantine decided : started) {
      counters.increment("quarantine.parts");
      QuarantineRecord record = QuarantineRecord.ofPart(decided.key(), decided.untilMicros());
      append(record);
      gossip(record);
    }
    evidence.liftExplained(nowMicros);
  }

  /** Reads the log, removes expired entries and retries failed appends when they are due. */
  public void onTick(long nowMicros) {
    decideOnParts(nowMicros);
    if (nextReadMicros == 0) {
      nextReadMicros = nowMicros + random.nextLong(MAXIMUM_FIRST_READ_DELAY_MICROS);
    }
    if (nowMicros >= nextReadMicros) {
      outbox.readLog(QuarantineRecord.STREAM, nextOffset);
      nextReadMicros = nowMicros + READ_INTERVAL_MICROS / 2 + random.nextLong(READ_INTERVAL_MICROS);
      register.removeExpired(nowMicros);
      suspects.removeExpired(nowMicros);
      evidence.removeExpired(nowMicros);
    }
    if (!failedAppends.isEmpty() && nowMicros >= nextAppendRetryMicros) {
      List<QuarantineRecord> due = List.copyOf(failedAppends);
      failedAppends.clear();
      due.stream().filter(record -> record.untilMicros() > nowMicros).forEach(this::append);
    }
  }

  private void append(QuarantineRecord record) {
    long token =
        outbox.appendLog(AppendKind.QUARANTINE, QuarantineRecord.STREAM, record.toPayload());
    pendingAppends.put(token, record);
  }

  private void gossip(QuarantineRecord record) {
    List<String> others = new ArrayList<>(routers.get());
    for (int sent = 0; sent < GOSSIP_PEERS && !others.isEmpty(); sent++) {
      outbox.send(others.remove(random.nextInt(others.size())), messageOf(record));
    }
  }

  private static Quarantine messageOf(QuarantineRecord record) {
    return new Quarantine(record.fingerprint(), record.untilMicros());
  }
}
