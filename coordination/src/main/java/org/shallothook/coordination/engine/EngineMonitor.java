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
 * Monitors the state of the sidecar's engine or service: incarnation, loaded versions,
 * reachability.
 *
 * <p>Polls the state at an interval that grows while nothing changes. Offers and failures trigger
 * an immediate read; orders to the engine trigger one soon.
 *
 * <p>Invariant: no version is ready while the engine is unreachable. Not thread-safe: used on the
 * decision thread.
 */
public final class EngineMonitor {
  private static final long RESPONSE_TIMEOUT_MICROS = 1_000_000;

  private final SidecarOptions options;
  private final SidecarOutbox outbox;
  private final PollInterval interval;
  private Optional<String> incarnation = Optional.empty();
  private Set<ModelVersion> loaded = Set.of();
  private int maximumRunning;
  private long highestFencingToken = -1;
  private EngineRole role = EngineRole.MIXED;
  private boolean isReachable;
  private boolean isLeaving;
  private int consecutiveFailures;
  private long unreachableSinceMicros = Long.MAX_VALUE;
  private long nextReadMicros = Long.MIN_VALUE;
  private long freshUntilMicros = Long.MIN_VALUE;

  /** Creates a monitor of an engine that has not reported its state yet. */
  public EngineMonitor(SidecarOptions options, SidecarOutbox outbox) {
    this.options = options;
    this.outbox = outbox;
    this.interval = new PollInterval(options.statusPollMicros());
  }

  /** Returns the incarnation that the engine reported last, if any. */
  public Optional<String> incarnation() {
    return incarnation;
  }

  /** Returns the loaded model versions; empty while the engine is unreachable. */
  public Set<ModelVersion> ready() {
    return isReachable ? loaded : Set.of();
  }

  /** Returns the number of streams that the engine can run at once. */
  public int maximumRunning() {
    return maximumRunning;
  }

  /** Returns the highest fencing token that the engine has seen; -1 if it does not check them. */
  public long highestFencingToken() {
    return highestFencingToken;
  }

  /** Returns the role that the engine reported last. */
  public EngineRole role() {
    return role;
  }

  /** Returns whether the latest read of the engine's state succeeded. */
  public boolean isReachable() {
    return isReachable;
  }

  /** Returns whether the engine reports that it is leaving. */
  public boolean isLeaving() {
    return isLeaving;
  }

  /**
   * Returns whether the engine has been unreachable for at least {@link
   * SidecarOptions#engineLossMicros()}.
   */
  public boolean isLost(long nowMicros) {
    return !isReachable
        && unreachableSinceMicros != Long.MAX_VALUE
        && nowMicros - unreachableSinceMicros >= options.engineLossMicros();
  }

  /** Returns the number of consecutive failed reads of the engine's state. */
  public int consecutiveFailures() {
    return consecutiveFailures;
  }

  /** Reads the engine's state when the next read is due. */
  public void onTick(long nowMicros) {
    if (nowMicros >= nextReadMicros) {
      readNow(nowMicros);
    }
  }

  /** Reads the engine's state immediately. */
  public void readNow(long nowMicros) {
    nextReadMicros = nowMicros + RESPONSE_TIMEOUT_MICROS;
    freshUntilMicros = nowMicros + interval.shortestMicros();
    outbox.command(new SidecarCommand.ReadEngineStatus());
  }

  /**
   * Reads the engine's state before work reaches it, unless a read was started recently.
   *
   * <p>An idle engine has no stream whose failure would reveal a restart; this read detects it.
   */
  public void onWorkOffered(long nowMicros) {
    if (nowMicros >= freshUntilMicros) {
      readNow(nowMicros);
    }
  }

  /** Resets the polling interval, because an order is about to change the engine's state. */
  public void onOrdered(long nowMicros) {
    interval.shorten();
    nextReadMicros = Math.min(nextReadMicros, nowMicros + interval.micros());
  }

  /**
   * Records a status report of the engine.
   *
   * @return differences from the previous state
   */
  public Set<EngineChange> onStatus(SidecarEvent.EngineStatus status, long nowMicros) {
    Objects.requireNonNull(status, "status");
    Set<EngineChange> changes = EnumSet.noneOf(EngineChange.class);
    Optional<String> reported = Optional.of(status.incarnation());
    Set<ModelVersion> reportedVersions = Set.copyOf(status.ready());
    addIf(changes, EngineChange.INCARNATION, !incarnation.equals(reported));
    addIf(changes, EngineChange.REACHABILITY, !isReachable);
    addIf(changes, EngineChange.VERSIONS, !loaded.equals(reportedVersions));
    addIf(changes, EngineChange.VERSION_REMOVED, !reportedVersions.containsAll(loaded));
    addIf(changes, EngineChange.LEAVING, isLeaving != status.isLeaving());
    addIf(changes, EngineChange.ROLE, role != status.role());
    incarnation = reported;
    loaded = reportedVersions;
    maximumRunning = status.maximumRunning();
    highestFencingToken = status.lastFencing();
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
   * Records that a read of the engine's state failed.
   *
   * @return differences from the previous state
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

  private static void addIf(Set<EngineChange> changes, EngineChange change, boolean hasChanged) {
    if (hasChanged) {
      changes.add(change);
    }
  }
}
