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
 * Keeps requests that crash engines away from them, together with all other routers.
 *
 * <p>A conviction is appended to the log and passed on from router to router, so that it spreads
 * while the log is down. Each router passes news on once, to a few others.
 *
 * <p>Invariant: only a request that ran alone at a crash is convicted. Not thread-safe.
 */
public final class PoisonGuard {
  private static final int GOSSIP_PEERS = 4;
  private static final long FIRST_READ_MICROS = 500_000;
  private static final long READ_INTERVAL_MICROS = 5_000_000;
  private static final long APPEND_RETRY_MICROS = 5_000_000;

  private final Outbox outbox;
  private final Counters counters;
  private final Supplier<List<String>> routers;
  private final SplittableRandom random;
  private final long quarantineMicros;
  private final QuarantineRegister register = new QuarantineRegister();
  private final CrashSuspects suspects;
  private final Map<Long, QuarantineRecord> appends = new HashMap<>();
  private final List<QuarantineRecord> unwritten = new ArrayList<>();
  private long retryAppendAtMicros;
  private long readAtMicros;
  private long nextOffset;

  /**
   * Creates a guard that knows of no request.
   *
   * @param outbox way to the log and to other routers
   * @param counters counts convictions
   * @param routers names of the other routers
   * @param random seeded source of jitter
   * @param quarantineMicros length of a quarantine and of a suspicion, in microseconds
   */
  public PoisonGuard(
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
  }

  /** Returns whether the request must run alone. */
  public boolean isSuspect(String fingerprint, long nowMicros) {
    return suspects.isSuspect(fingerprint, nowMicros);
  }

  /** Returns the end of the request's quarantine, if it is in force. */
  public Optional<Long> quarantinedUntil(String fingerprint, long nowMicros) {
    return register.untilOf(fingerprint, nowMicros);
  }

  /** Returns the number of requests in quarantine. */
  public int quarantined() {
    return register.size();
  }

  /**
   * Takes in the crash of an engine that ran the request.
   *
   * @param fingerprint digest of the request
   * @param ranAlone whether it was the only request on the engine, and known to be a suspect
   * @param homes upstreams that the request would be offered to again; they are told at once
   * @param nowMicros time of the crash
   * @return end of the request's quarantine, if it is convicted by this crash
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
    passOn(record);
    return Optional.of(record.untilMicros());
  }

  /** Clears a request that has completed. */
  public void onCompleted(String fingerprint) {
    suspects.onCompleted(fingerprint);
  }

  /** Takes in what another process tells of a request, and passes news on. */
  public void onMessage(Quarantine message, long nowMicros) {
    QuarantineRecord record = new QuarantineRecord(message.fingerprint(), message.untilMicros());
    if (register.add(record.fingerprint(), record.untilMicros(), nowMicros)) {
      counters.increment("quarantine.learned");
      passOn(record);
    }
  }

  /** Takes in records of the log; other streams are left alone. */
  public void onLogRead(LogPage page, long nowMicros) {
    if (!page.stream().equals(QuarantineRecord.STREAM)) {
      return;
    }
    for (LogRecord logRecord : page.records()) {
      QuarantineRecord.fromPayload(logRecord.payload())
          .ifPresent(one -> register.add(one.fingerprint(), one.untilMicros(), nowMicros));
    }
    nextOffset = page.nextOffset();
    if (nextOffset < page.end()) {
      outbox.readLog(QuarantineRecord.STREAM, nextOffset);
    }
  }

  /** Takes in that an append was answered. */
  public void onAppended(long token) {
    appends.remove(token);
  }

  /** Takes in that an append failed; it is repeated, because a second record is harmless. */
  public void onAppendFailed(long token, long nowMicros) {
    QuarantineRecord record = appends.remove(token);
    if (record != null) {
      unwritten.add(record);
      retryAppendAtMicros = nowMicros + APPEND_RETRY_MICROS;
    }
  }

  /** Reads the log and repeats failed appends when it is time to. */
  public void onTick(long nowMicros) {
    if (readAtMicros == 0) {
      readAtMicros = nowMicros + random.nextLong(FIRST_READ_MICROS);
    }
    if (nowMicros >= readAtMicros) {
      outbox.readLog(QuarantineRecord.STREAM, nextOffset);
      readAtMicros = nowMicros + READ_INTERVAL_MICROS / 2 + random.nextLong(READ_INTERVAL_MICROS);
      register.forgetPassed(nowMicros);
      suspects.forgetPassed(nowMicros);
    }
    if (!unwritten.isEmpty() && nowMicros >= retryAppendAtMicros) {
      List<QuarantineRecord> due = List.copyOf(unwritten);
      unwritten.clear();
      due.stream().filter(record -> record.untilMicros() > nowMicros).forEach(this::append);
    }
  }

  private void append(QuarantineRecord record) {
    long token =
        outbox.appendLog(AppendKind.QUARANTINE, QuarantineRecord.STREAM, record.toPayload());
    appends.put(token, record);
  }

  private void passOn(QuarantineRecord record) {
    List<String> others = new ArrayList<>(routers.get());
    for (int sent = 0; sent < GOSSIP_PEERS && !others.isEmpty(); sent++) {
      outbox.send(others.remove(random.nextInt(others.size())), messageOf(record));
    }
  }

  private static Quarantine messageOf(QuarantineRecord record) {
    return new Quarantine(record.fingerprint(), record.untilMicros());
  }
}
