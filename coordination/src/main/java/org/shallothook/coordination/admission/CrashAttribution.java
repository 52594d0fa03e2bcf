package org.shallothook.coordination.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import org.shallothook.coordination.message.CrashRole;
import org.shallothook.state.request.RefusalReason;

/**
 * Streams that broke off, until it is known whether their engine was lost.
 *
 * <p>A broken stream alone does not tell whether the engine crashed or refused one request, and
 * only a crash makes its attempts suspects. So each waits for the engine's next report, and counts
 * as lost with its engine when none comes in time.
 *
 * <p>Invariant: parts in a crash are taken from the batch as it was at the first broken stream. Not
 * thread-safe: used on the decision thread.
 */
final class CrashAttribution {
  private static final long REPORT_TIMEOUT_MICROS = 300_000;

  private final AttemptTable table;
  private final AttemptEnds ends;
  private final Map<AdmittedAttempt, CrashRole> broken = new LinkedHashMap<>();
  private int batchSize;
  private long deadlineMicros = Long.MAX_VALUE;

  CrashAttribution(AttemptTable table, AttemptEnds ends) {
    this.table = table;
    this.ends = ends;
  }

  /** Returns whether a broken stream waits for the engine's report. */
  boolean isWaiting() {
    return !broken.isEmpty();
  }

  /** Takes a stream that broke off. */
  void onBroken(AdmittedAttempt attempt, long nowMicros) {
    if (broken.isEmpty()) {
      batchSize = table.running().size();
      deadlineMicros = nowMicros + REPORT_TIMEOUT_MICROS;
    }
    broken.putIfAbsent(attempt, roleOf(attempt, batchSize));
  }

  /** Fails the broken streams: the engine has reported as the same incarnation. */
  void onEngineAlive(long nowMicros) {
    for (AdmittedAttempt attempt : broken.keySet()) {
      if (!attempt.is(AdmittedAttempt.Stage.OVER)) {
        ends.fail(attempt, RefusalReason.ENGINE_LOST, "The engine ended the stream.", 0, nowMicros);
      }
    }
    clear();
  }

  /** Fails the broken streams: the engine was lost. */
  void onEngineLost(long nowMicros) {
    broken.forEach((attempt, role) -> failLost(attempt, role, nowMicros));
    clear();
  }

  /** Fails every running stream: the engine was lost. */
  void onAllLost(long nowMicros) {
    int size = isWaiting() ? batchSize : table.running().size();
    for (AdmittedAttempt attempt : table.matching(open -> open.is(AdmittedAttempt.Stage.RUNNING))) {
      broken.putIfAbsent(attempt, roleOf(attempt, size));
    }
    onEngineLost(nowMicros);
  }

  /** Counts the engine as lost when its report does not come in time. */
  void onTick(long nowMicros) {
    if (nowMicros >= deadlineMicros) {
      onEngineLost(nowMicros);
    }
  }

  private void failLost(AdmittedAttempt attempt, CrashRole role, long nowMicros) {
    if (!attempt.is(AdmittedAttempt.Stage.OVER)) {
      String detail = "The engine was lost while the attempt ran (" + role + ").";
      ends.fail(attempt, RefusalReason.ENGINE_LOST, detail, 0, role, nowMicros);
    }
  }

  private void clear() {
    broken.clear();
    deadlineMicros = Long.MAX_VALUE;
  }

  private static CrashRole roleOf(AdmittedAttempt attempt, int batchSize) {
    if (batchSize <= 1) {
      return CrashRole.ALONE;
    }
    return attempt.hasTokenOfRun() ? CrashRole.STREAMING : CrashRole.PREFILLING;
  }
}
