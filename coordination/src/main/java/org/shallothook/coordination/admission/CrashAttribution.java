package org.shallothook.coordination.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import org.shallothook.coordination.message.CrashRole;
import org.shallothook.state.request.RefusalReason;

/**
 * Attributes engine crashes to attempts: holds broken streams until it is known whether the engine
 * was lost.
 *
 * <p>A broken stream alone does not show whether the engine crashed or ended a single request, and
 * only a crash makes its attempts suspects. Each broken stream is therefore held until the engine's
 * next status report; if none arrives in time, the engine is considered lost.
 *
 * <p>Invariant: crash roles are determined from the size of the batch when the first stream broke.
 * Not thread-safe: used on the decision thread.
 */
final class CrashAttribution {
  private static final long REPORT_TIMEOUT_MICROS = 300_000;

  private final AttemptTable table;
  private final AttemptTerminator terminator;
  private final Map<AdmittedAttempt, CrashRole> brokenStreams = new LinkedHashMap<>();
  private int batchSize;
  private long deadlineMicros = Long.MAX_VALUE;

  CrashAttribution(AttemptTable table, AttemptTerminator terminator) {
    this.table = table;
    this.terminator = terminator;
  }

  /** Returns whether a broken stream is held until the engine's next report. */
  boolean isReportPending() {
    return !brokenStreams.isEmpty();
  }

  /** Records a broken stream. */
  void onStreamBroken(AdmittedAttempt attempt, long nowMicros) {
    if (brokenStreams.isEmpty()) {
      batchSize = table.running().size();
      deadlineMicros = nowMicros + REPORT_TIMEOUT_MICROS;
    }
    brokenStreams.putIfAbsent(attempt, roleOf(attempt, batchSize));
  }

  /**
   * Fails the broken streams without a crash role, because the engine has reported the same
   * incarnation.
   */
  void onEngineAlive(long nowMicros) {
    for (AdmittedAttempt attempt : brokenStreams.keySet()) {
      if (!attempt.is(AdmittedAttempt.Stage.OVER)) {
        terminator.fail(
            attempt, RefusalReason.ENGINE_LOST, "The engine ended the stream.", 0, nowMicros);
      }
    }
    clear();
  }

  /** Fails the broken streams with their crash roles, because the engine was lost. */
  void onEngineLost(long nowMicros) {
    brokenStreams.forEach((attempt, role) -> failLost(attempt, role, nowMicros));
    clear();
  }

  /** Fails all running streams with their crash roles, because the engine was lost. */
  void onAllLost(long nowMicros) {
    int size = isReportPending() ? batchSize : table.running().size();
    for (AdmittedAttempt attempt : table.matching(open -> open.is(AdmittedAttempt.Stage.RUNNING))) {
      brokenStreams.putIfAbsent(attempt, roleOf(attempt, size));
    }
    onEngineLost(nowMicros);
  }

  /** Considers the engine lost if its report has not arrived in time. */
  void onTick(long nowMicros) {
    if (nowMicros >= deadlineMicros) {
      onEngineLost(nowMicros);
    }
  }

  private void failLost(AdmittedAttempt attempt, CrashRole role, long nowMicros) {
    if (!attempt.is(AdmittedAttempt.Stage.OVER)) {
      String detail = "The engine was lost while the attempt ran (" + role + ").";
      terminator.fail(attempt, RefusalReason.ENGINE_LOST, detail, 0, role, nowMicros);
    }
  }

  private void clear() {
    brokenStreams.clear();
    deadlineMicros = Long.MAX_VALUE;
  }

  private static CrashRole roleOf(AdmittedAttempt attempt, int batchSize) {
    if (batchSize <= 1) {
      return CrashRole.ALONE;
    }
    return attempt.hasTokenOfRun() ? CrashRole.STREAMING : CrashRole.PREFILLING;
  }
}
