package org.shallothook.coordination.forward;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.quarantine.CrashEvidence;
import org.shallothook.coordination.quarantine.CrashEvidence.Assessment;
import org.shallothook.coordination.quarantine.CrashEvidence.Cleared;
import org.shallothook.coordination.quarantine.CrashEvidence.Quarantine;
import org.shallothook.coordination.quarantine.RequestSignature;

/**
 * Shares evidence on crashes and the quarantines that follow from it with the other routers and the
 * store.
 *
 * <p>Handles routers that see only a part of the requests, miss messages or have just started: each
 * crash and each cleared key is announced once, quarantines in force are announced again at
 * intervals, and the store keeps them for routers that start.
 *
 * <p>Not thread-safe, except for {@link #size}.
 */
final class CrashQuarantine {
  /** Minimum time between two announcements of the quarantines in force, in microseconds. */
  private static final long ANNOUNCE_INTERVAL_MICROS = 1_000_000;

  /**
   * Minimum time between two such announcements per router of the fleet, in microseconds, so that
   * the rate of messages that a router receives does not grow with the fleet.
   */
  private static final long ANNOUNCE_INTERVAL_PER_ROUTER_MICROS = 100_000;

  private final CrashEvidence evidence;
  private final Consumer<ForwardCommand> commands;
  private final ForwardJournal journal;
  private final Counters counters;
  private long nextAnnounceMicros;
  private volatile int activeQuarantines;

  CrashQuarantine(
      long quarantineMicros,
      Consumer<ForwardCommand> commands,
      ForwardJournal journal,
      Counters counters) {
    this.evidence = new CrashEvidence(quarantineMicros);
    this.commands = commands;
    this.journal = journal;
    this.counters = counters;
  }

  /** Returns the quarantine for which a request must be refused at its arrival. */
  Optional<Quarantine> check(RequestSignature signature, long nowMicros) {
    return evidence.check(signature, nowMicros);
  }

  /** Returns the quarantine that began after an open request had arrived, if any. */
  Optional<Quarantine> quarantinedSince(RequestSignature signature, long arrivedMicros) {
    return evidence.quarantinedSince(signature, arrivedMicros);
  }

  /** Returns whether crashes count against any key of a request. */
  boolean hasCrashes(RequestSignature signature) {
    return evidence.hasCrashes(signature);
  }

  /** Returns whether a request should not be repeated, as it may crash the next server too. */
  boolean isSuspected(RequestSignature signature, long nowMicros) {
    return evidence.isSuspected(signature, nowMicros);
  }

  /** Returns the number of quarantines in force. Thread-safe. */
  int size() {
    return activeQuarantines;
  }

  /** Counts the crash of a server of this router against a request, and announces it. */
  void onCrash(String crash, RequestSignature signature, long nowMicros) {
    evidence.onCrash(crash, signature, nowMicros);
    commands.accept(new ForwardCommand.AnnounceCrash(signature, crash));
  }

  /** Counts a crash that another router has announced. */
  void onCrashAnnounced(String crash, RequestSignature signature, long nowMicros) {
    evidence.onCrash(crash, signature, nowMicros);
  }

  /** Clears a request whose answer its server has survived. */
  void onSurvived(RequestSignature signature, long nowMicros) {
    clear(evidence.onSurvived(signature, nowMicros), "an answer was survived");
  }

  /** Clears keys that another router has cleared. */
  void onClearedAnnounced(List<Long> keys, long nowMicros) {
    Cleared cleared = evidence.onCleared(keys, nowMicros);
    logCleared(cleared, "cleared by a peer");
    lift(cleared.quarantined(), "cleared by a peer");
  }

  /** Adopts a quarantine of another router or of the store. */
  void onQuarantined(long key, long untilMicros, String source, long nowMicros) {
    if (evidence.onQuarantined(key, untilMicros, nowMicros)) {
      counters.increment("quarantine.learned");
      journal.quarantined(key, source, 0, untilMicros - nowMicros);
    } else if (evidence.isCleared(key, nowMicros)) {
      commands.accept(new ForwardCommand.AnnounceCleared(List.of(key)));
    }
  }

  /** Decides on new quarantines, ends old ones and announces those in force when it is time. */
  void onTick(int routers, long nowMicros) {
    List<Assessment> assessments = evidence.decide(nowMicros);
    assessments.forEach(this::logAssessment);
    List<Quarantine> decided =
        assessments.stream().flatMap(assessment -> assessment.quarantine().stream()).toList();
    for (Quarantine quarantine : decided) {
      counters.increment("quarantine.started");
      journal.quarantined(
          quarantine.key(), "crashes", quarantine.crashes(), quarantine.untilMicros() - nowMicros);
      commands.accept(
          new ForwardCommand.StoreQuarantine(
              quarantine.key(), Optional.of(quarantine.untilMicros())));
    }
    if (!decided.isEmpty()) {
      nextAnnounceMicros = nowMicros;
      clear(evidence.liftExplained(nowMicros), "explained by another key");
    }
    evidence.removeExpired(nowMicros).forEach(key -> endOwn(key, "expired"));
    List<Quarantine> active = evidence.quarantines();
    activeQuarantines = active.size();
    announce(active, routers, nowMicros);
  }

  /** Logs an assessment unless it rests on a single crash, which most suspects are innocent of. */
  private void logAssessment(Assessment assessment) {
    if (assessment.crashes() > 1) {
      counters.increment("crashes.assessed");
      journal.assessed(assessment);
    }
  }

  private void announce(List<Quarantine> active, int routers, long nowMicros) {
    if (nowMicros < nextAnnounceMicros) {
      return;
    }
    nextAnnounceMicros =
        nowMicros
            + Math.max(ANNOUNCE_INTERVAL_MICROS, routers * ANNOUNCE_INTERVAL_PER_ROUTER_MICROS);
    Map<Long, Long> untilMicros = new LinkedHashMap<>();
    active.forEach(one -> untilMicros.put(one.key(), one.untilMicros()));
    if (!untilMicros.isEmpty()) {
      commands.accept(new ForwardCommand.AnnounceQuarantines(untilMicros));
    }
  }

  private void clear(Cleared cleared, String why) {
    logCleared(cleared, why);
    if (!cleared.suspected().isEmpty()) {
      commands.accept(new ForwardCommand.AnnounceCleared(cleared.suspected()));
    }
    cleared.quarantined().forEach(key -> endOwn(key, why));
  }

  private void logCleared(Cleared cleared, String why) {
    for (long key : cleared.repeated()) {
      counters.increment("crashes.cleared");
      journal.cleared(key, why);
    }
  }

  /** Records the end of a quarantine, and removes it from the store. */
  private void endOwn(long key, String why) {
    lift(List.of(key), why);
    commands.accept(new ForwardCommand.StoreQuarantine(key, Optional.empty()));
  }

  private void lift(List<Long> keys, String why) {
    for (long key : keys) {
      counters.increment("quarantine.lifted");
      journal.quarantineLifted(key, why);
    }
  }
}
