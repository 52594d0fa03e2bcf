package org.shallothook.coordination.engine;

import java.util.EnumSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarOptions;
import org.shallothook.coordination.sidecar.SidecarOutbox;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.membership.EngineRole;

/**
 * What the sidecar knows of its engine or service: incarnation, loaded versions, and reachability.
 *
 * <p>Reads the state at an interval, one reading at a time. The interval grows while nothing
 * changes; offers, failures and orders ask at once or soon.
 *
 * <p>Invariant: nothing is ready while the engine is unreachable. Not thread-safe: used on the
 * decision thread.
 */
public final class EngineMonitor {
  private static final long ANSWER_TIMEOUT_MICROS = 1_000_000;

  private final SidecarOptions options;
  private final SidecarOutbox outbox;
  private final PollInterval interval;
  private Optional<String> incarnation = Optional.empty();
  private Set<ModelVersion> loaded = Set.of();
  private int maximumRunning;
  private long lastFencing = -1;
  private EngineRole role = EngineRole.MIXED;
  private boolean isReachable;
  private boolean isLeaving;
  private int consecutiveFailures;
  private long unreachableSinceMicros = Long.MAX_VALUE;
  private long nextReadMicros = Long.MIN_VALUE;
  private long freshUntilMicros = Long.MIN_VALUE;

  /** Creates a monitor of an engine that has not answered yet. */
  public EngineMonitor(SidecarOptions options, SidecarOutbox outbox) {
    this.options = options;
    this.outbox = outbox;
    this.interval = new PollInterval(options.statusPollMicros());
  }

  /** Returns the incarnation seen last, if any. */
  public Optional<String> incarnation() {
    return incarnation;
  }

  /** Returns the model versions that can serve now. */
  public Set<ModelVersion> ready() {
    return isReachable ? loaded : Set.of();
  }

  /** Returns the number of streams that the engine can run at once. */
  public int maximumRunning() {
    return maximumRunning;
  }

  /** Returns the greatest fencing number that the engine has seen; -1 where it ignores them. */
  public long lastFencing() {
    return lastFencing;
  }

  /** Returns the role that the engine reported last. */
  public EngineRole role() {
    return role;
  }

  /** Returns whether the engine answered the last question for its state. */
  public boolean isReachable() {
    return isReachable;
  }

  /** Returns whether the engine says that it is leaving. */
  public boolean isLeaving() {
    return isLeaving;
  }

  /** Returns whether the engine has been out of reach for longer than the options allow. */
  public boolean isLost(long nowMicros) {
    return !isReachable
        && unreachableSinceMicros != Long.MAX_VALUE
        && nowMicros - unreachableSinceMicros >= options.engineLossMicros();
  }

  /** Returns how many questions for its state the engine has left unanswered in a row. */
  public int consecutiveFailures() {
    return consecutiveFailures;
  }

  /** Asks for the engine's state when it is time to. */
  public void onTick(long nowMicros) {
    if (nowMicros >= nextReadMicros) {
      readNow(nowMicros);
    }
  }

  /** Asks for the engine's state at once. */
  public void readNow(long nowMicros) {
    nextReadMicros = nowMicros + ANSWER_TIMEOUT_MICROS;
    freshUntilMicros = nowMicros + interval.shortestMicros();
    outbox.command(new SidecarCommand.ReadEngineStatus());
  }

  /**
   * Asks for the engine's state before work reaches it, unless it was asked just now.
   *
   * <p>An idle engine that restarted has no stream that breaks, and is found out by this.
   */
  public void onWorkOffered(long nowMicros) {
    if (nowMicros >= freshUntilMicros) {
      readNow(nowMicros);
    }
  }

  /** Asks more often for a while, because an order is about to change the engine's state. */
  public void onOrdered(long nowMicros) {
    interval.shorten();
    nextReadMicros = Math.min(nextReadMicros, nowMicros + interval.micros());
  }

  /**
   * Takes a report of the engine.
   *
   * @return what differs from before
   */
  public Set<EngineChange> onStatus(SidecarEvent.EngineStatus status, long nowMicros) {
    Objects.requireNonNull(status, "status");
    Set<EngineChange> changes = EnumSet.noneOf(EngineChange.class);
    Optional<String> reported = Optional.of(status.incarnation());
    Set<ModelVersion> reportedVersions = Set.copyOf(status.ready());
    note(changes, EngineChange.INCARNATION, !incarnation.equals(reported));
    note(changes, EngineChange.REACHABILITY, !isReachable);
    note(changes, EngineChange.VERSIONS, !loaded.equals(reportedVersions));
    note(changes, EngineChange.VERSION_REMOVED, !reportedVersions.containsAll(loaded));
    note(changes, EngineChange.LEAVING, isLeaving != status.isLeaving());
    note(changes, EngineChange.ROLE, role != status.role());
    incarnation = reported;
    loaded = reportedVersions;
    maximumRunning = status.maximumRunning();
    lastFencing = status.lastFencing();
    role = status.role();
    isLeaving = status.isLeaving();
    isReachable = true;
    consecutiveFailures = 0;
    unreachableSinceMicros = Long.MAX_VALUE;
    if (changes.isEmpty()) {
      interval.lengthen();
    } else {
      interval.shorten();
    }
    nextReadMicros = nowMicros + interval.micros();
    return changes;
  }

  /**
   * Notes that the engine did not answer.
   *
   * @return what differs from before
   */
  public Set<EngineChange> onUnreachable(long nowMicros) {
    interval.shorten();
    nextReadMicros = nowMicros + interval.micros();
    consecutiveFailures++;
    if (unreachableSinceMicros == Long.MAX_VALUE) {
      unreachableSinceMicros = nowMicros;
    }
    if (!isReachable) {
      return Set.of();
    }
    isReachable = false;
    return EnumSet.of(EngineChange.REACHABILITY);
  }

  private static void note(Set<EngineChange> changes, EngineChange change, boolean hasChanged) {
    if (hasChanged) {
      changes.add(change);
    }
  }
}
