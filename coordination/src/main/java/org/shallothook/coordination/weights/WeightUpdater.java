package org.shallothook.coordination.weights;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.coordination.port.Decision;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.log.WrittenTime;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.WeightVersion;

/**
 * Decides when one model server loads new weights, and announces its status.
 *
 * <p>Only the process that owns the server gives it load orders. Each incarnation of the process
 * acquires a new fencing token, so that the server rejects late orders of an earlier incarnation.
 * Each order also states how many orders the server has accepted before, so that it has no effect
 * once the server has accepted another.
 *
 * <p>Invariant: one order is outstanding at a time, with a fencing token acquired in this
 * incarnation. Not thread-safe: one decision thread owns it.
 */
public final class WeightUpdater {
  /** Longest time between two ticks, in microseconds. */
  public static final long TICK_INTERVAL_MICROS = 100_000;

  /** Time between two reports while the server is out of rotation or down. */
  private static final long REPORT_INTERVAL_MICROS = 100_000;

  /** Time between two reports while the server is in rotation. */
  private static final long SERVING_REPORT_INTERVAL_MICROS = 250_000;

  /** Time between two attempts to acquire a fencing token or to find the server's identity. */
  private static final long RETRY_INTERVAL_MICROS = 500_000;

  /** Time after an order by which its effect must show in the report if its result is unknown. */
  private static final long ORDER_TIMEOUT_MICROS = 800_000;

  /** Time between two announcements that the server is unavailable. */
  private static final long UNAVAILABLE_ANNOUNCEMENT_INTERVAL_MICROS = 1_000_000;

  /**
   * Time for which a slot may be unused before the entries are read again, in microseconds. A
   * server that takes it announces that at once, and again after each announcement interval.
   */
  private static final long UNUSED_SLOT_MICROS = UNAVAILABLE_ANNOUNCEMENT_INTERVAL_MICROS;

  /** Longest wait for prompts already sent, which the server would refuse once it loads. */
  private static final long QUEUE_DRAIN_TIMEOUT_MICROS = 350_000;

  /** Least time between two announcements if the queue delay has changed by a large amount. */
  private static final long LARGE_CHANGE_INTERVAL_MICROS = 250_000;

  /** Least time between two announcements if the queue delay has changed by a small amount. */
  private static final long SMALL_CHANGE_INTERVAL_MICROS = 800_000;

  /**
   * Least time between two announcements of a changed queue per known server, in microseconds, so
   * that the announcements which a router receives do not grow with the number of servers.
   */
  static final long ANNOUNCEMENT_INTERVAL_PER_SERVER_MICROS = 20_000;

  /** Change of the queue delay from which on it counts as large, in microseconds. */
  private static final long LARGE_QUEUE_CHANGE_MICROS = 2 * EngineReport.ASSUMED_PREFILL_MICROS;

  /** Consecutive failed reports after which the server counts as down. */
  private static final int FAILURES_UNTIL_DOWN = 2;

  private final String name;
  private final String address;
  private final Consumer<WeightCommand> commands;
  private final DecisionJournal journal;
  private final Map<String, WeightVersion> desired = new HashMap<>();
  private final Map<String, RolloutSchedule.RolloutTime> rolloutTimes = new HashMap<>();
  private final Map<String, ServerEntry> servers = new HashMap<>();
  private Optional<EngineReport> report = Optional.empty();
  private Optional<Long> fencingToken = Optional.empty();
  private Optional<VersionOrder> outstandingOrder = Optional.empty();
  private Optional<SidecarStatus> announced = Optional.empty();
  private boolean knowsAllServers;
  private boolean isReadingReport;
  private boolean isAcquiringToken;
  private int failedReports;
  private long nextReportMicros;
  private long nextTokenMicros;
  private long nextServersMicros;
  private long nextOrderMicros;
  private long announcedAtMicros;
  private boolean isOutOfRotation;
  private long outOfRotationSinceMicros;
  private Optional<Long> slotUnusedSinceMicros = Optional.empty();

  /** The version for which the entries were read again, as a slot was unused. */
  private Optional<WeightVersion> serversReadFor = Optional.empty();

  private final RolloutSchedule schedule;

  /**
   * Creates an updater that knows nothing of its server yet.
   *
   * @param name name of this process
   * @param address {@code IP:port} of the server
   * @param boundMicros time after which no request may begin on older weights, in microseconds
   * @param commands receives each command, in order
   * @param journal receives a line for each decision
   */
  public WeightUpdater(
      String name,
      String address,
      long boundMicros,
      Consumer<WeightCommand> commands,
      DecisionJournal journal) {
    this.name = Objects.requireNonNull(name, "name");
    this.address = Objects.requireNonNull(address, "address");
    this.schedule = new RolloutSchedule(boundMicros);
    this.commands = Objects.requireNonNull(commands, "commands");
    this.journal = Objects.requireNonNull(journal, "journal");
  }

  /** Handles one event. */
  public void handle(WeightEvent event, long nowMicros) {
    if (event instanceof WeightEvent.DesiredVersionChanged changed) {
      onDesiredVersion(changed.desired(), changed.written(), nowMicros);
    } else if (event instanceof WeightEvent.Reported reported) {
      isReadingReport = false;
      reported.result().peek(read -> onReport(read, nowMicros)).peekLeft(this::onReportFailed);
    } else if (event instanceof WeightEvent.Ordered ordered) {
      onOrdered(ordered, nowMicros);
    } else if (event instanceof WeightEvent.FencingTokenAcquired acquired) {
      isAcquiringToken = false;
      fencingToken = acquired.fencingToken();
    } else if (event instanceof WeightEvent.ServerListed listed) {
      servers.put(listed.entry().id(), listed.entry());
    } else if (event instanceof WeightEvent.ServersComplete) {
      knowsAllServers = true;
    } else if (event instanceof WeightEvent.StatusReceived received) {
      schedule.onStatus(received.status(), nowMicros);
    } else if (event instanceof WeightEvent.ServerRemoved removed) {
      servers.remove(removed.id());
    }
    issueCommands(nowMicros);
  }

  private void onDesiredVersion(WeightVersion version, WrittenTime written, long nowMicros) {
    WeightVersion known = desired.get(version.model());
    if (known == null || known.version() < version.version()) {
      // A server that still lacks the previous version keeps its latest start.
      boolean hasKnownVersion = known == null || versionOf(version.model()) >= known.version();
      if (hasKnownVersion) {
        rolloutTimes.put(version.model(), schedule.timeOf(written, nowMicros));
      }
      desired.put(version.model(), version);
      nextServersMicros = nowMicros;
      nextReportMicros = nowMicros;
      journal.writeDesiredVersion(version, written, nowMicros);
    }
  }

  private void onReport(EngineReport newer, long nowMicros) {
    boolean hasRestarted =
        report.filter(older -> older.startedAtMillis() != newer.startedAtMillis()).isPresent();
    if (hasRestarted) {
      outstandingOrder = Optional.empty();
      nextServersMicros = nowMicros;
    }
    report = Optional.of(newer);
    failedReports = 0;
    boolean wasCarriedOut =
        outstandingOrder
            .filter(order -> versionOf(order.desired().model()) >= order.desired().version())
            .isPresent();
    boolean wasAccepted =
        outstandingOrder
            .filter(order -> newer.acceptedOrders() > order.expectedOrders())
            .isPresent();
    boolean hasEnded = wasAccepted && !newer.isBusy();
    if (wasCarriedOut || hasEnded) {
      journal.write(
          Decision.ORDER,
          serverId().orElse(address),
          "outcome",
          "ended",
          "versions",
          newer.versions());
      outstandingOrder = Optional.empty();
    }
  }

  private void onReportFailed(String detail) {
    failedReports++;
    if (failedReports == FAILURES_UNTIL_DOWN) {
      journal.write(Decision.DEPENDENCY, address, "outcome", "lost", "detail", detail);
    }
  }

  private void onOrdered(WeightEvent.Ordered ordered, long nowMicros) {
    journal.write(
        Decision.ORDER,
        ordered.order().server(),
        "version",
        ordered.order().desired().version(),
        "fence",
        ordered.order().fencingToken(),
        "outcome",
        ordered.result());
    nextReportMicros = nowMicros;
    switch (ordered.result()) {
      case ACCEPTED, UNKNOWN -> nextOrderMicros = nowMicros + ORDER_TIMEOUT_MICROS;
      case FENCED -> {
        fencingToken = Optional.empty();
        outstandingOrder = Optional.empty();
      }
      case OTHER_SERVER -> {
        outstandingOrder = Optional.empty();
        nextServersMicros = nowMicros;
        nextOrderMicros = nowMicros + RETRY_INTERVAL_MICROS;
      }
      case ALREADY_HOLDS -> outstandingOrder = Optional.empty();
      case BUSY_OR_CHANGED, NOT_SENT -> {
        outstandingOrder = Optional.empty();
        nextOrderMicros = nowMicros + REPORT_INTERVAL_MICROS;
      }
      case REJECTED -> {
        outstandingOrder = Optional.empty();
        nextOrderMicros = nowMicros + RETRY_INTERVAL_MICROS;
      }
    }
  }

  private void issueCommands(long nowMicros) {
    Optional<WeightVersion> next = missingVersion();
    Optional<RolloutSchedule.Rollout> rollout = next.flatMap(this::rollout);
    updateRotation(rollout, nowMicros);
    readServersIfSlotIsUnused(rollout, nowMicros);
    readReport(nowMicros);
    if (serverId().isEmpty() && nowMicros >= nextServersMicros) {
      nextServersMicros = nowMicros + RETRY_INTERVAL_MICROS;
      commands.accept(new WeightCommand.ReadServers());
    }
    // Acquired in advance, so that an outage of the store does not delay new weights.
    if (fencingToken.isEmpty() && !isAcquiringToken && nowMicros >= nextTokenMicros) {
      isAcquiringToken = true;
      nextTokenMicros = nowMicros + RETRY_INTERVAL_MICROS;
      commands.accept(new WeightCommand.AcquireFencingToken());
    }
    announce(nowMicros);
    if (isOutOfRotation) {
      orderIfReady(next.orElseThrow(), nowMicros);
    }
  }

  /** Takes the server out of rotation once the schedule allows it, until it has the version. */
  private void updateRotation(Optional<RolloutSchedule.Rollout> next, long nowMicros) {
    boolean wasOutOfRotation = isOutOfRotation;
    isOutOfRotation =
        fencingToken.isPresent()
            && next.filter(rollout -> wasOutOfRotation || schedule.mayStart(rollout, nowMicros))
                .isPresent();
    if (isOutOfRotation && !wasOutOfRotation) {
      outOfRotationSinceMicros = nowMicros;
    }
  }

  /**
   * Reads the entries again, once for a version, if this server waits for others that do not start:
   * they may have left since the last read.
   */
  private void readServersIfSlotIsUnused(Optional<RolloutSchedule.Rollout> next, long nowMicros) {
    Optional<RolloutSchedule.Rollout> waiting =
        next.filter(rollout -> !isOutOfRotation && schedule.isSlotUnused(rollout, nowMicros));
    if (waiting.isEmpty()) {
      slotUnusedSinceMicros = Optional.empty();
      return;
    }
    Optional<WeightVersion> version = waiting.map(RolloutSchedule.Rollout::desired);
    long sinceMicros = slotUnusedSinceMicros.orElse(nowMicros);
    slotUnusedSinceMicros = Optional.of(sinceMicros);
    if (nowMicros - sinceMicros >= UNUSED_SLOT_MICROS && !serversReadFor.equals(version)) {
      serversReadFor = version;
      commands.accept(new WeightCommand.ReadServers());
    }
  }

  private void readReport(long nowMicros) {
    if (!isReadingReport && nowMicros >= nextReportMicros) {
      isReadingReport = true;
      boolean isServing = !isOutOfRotation && failedReports == 0 && report.isPresent();
      nextReportMicros =
          nowMicros + (isServing ? SERVING_REPORT_INTERVAL_MICROS : REPORT_INTERVAL_MICROS);
      commands.accept(new WeightCommand.ReadReport());
    }
  }

  private void orderIfReady(WeightVersion next, long nowMicros) {
    boolean hasTimedOut =
        outstandingOrder.isPresent() && nowMicros >= nextOrderMicros && !report.get().isBusy();
    if (hasTimedOut) {
      outstandingOrder = Optional.empty();
    }
    long outOfRotationMicros = nowMicros - outOfRotationSinceMicros;
    boolean isQueueDrained =
        outOfRotationMicros >= QUEUE_DRAIN_TIMEOUT_MICROS
            || (outOfRotationMicros >= 2 * REPORT_INTERVAL_MICROS
                && report.get().queuedPrefills() == 0);
    boolean mayOrder =
        outstandingOrder.isEmpty()
            && isQueueDrained
            && fencingToken.isPresent()
            && serverId().isPresent()
            && !report.get().isBusy()
            && nowMicros >= nextOrderMicros;
    if (mayOrder) {
      VersionOrder order =
          new VersionOrder(
              serverId().get(), next, name, fencingToken.get(), report.get().acceptedOrders());
      outstandingOrder = Optional.of(order);
      nextOrderMicros = nowMicros + ORDER_TIMEOUT_MICROS;
      commands.accept(new WeightCommand.Order(order));
    }
  }

  /** Returns a desired version that the server lacks; empty if there is none or it is down. */
  private Optional<WeightVersion> missingVersion() {
    if (report.isEmpty() || failedReports >= FAILURES_UNTIL_DOWN) {
      return Optional.empty();
    }
    return desired.values().stream()
        .filter(version -> report.get().versions().containsKey(version.model()))
        .filter(version -> versionOf(version.model()) < version.version())
        .findFirst();
  }

  /** Returns the rollout of a version; empty until its servers are known, as they are ranked. */
  private Optional<RolloutSchedule.Rollout> rollout(WeightVersion version) {
    return serverId()
        .filter(id -> knowsAllServers)
        .map(
            id -> {
              String service = servers.get(id).service();
              List<ServerEntry> all =
                  servers.values().stream()
                      .filter(entry -> entry.service().equals(service) && !entry.isLeaving())
                      .toList();
              return new RolloutSchedule.Rollout(
                  id, all, version, rolloutTimes.get(version.model()));
            });
  }

  private long versionOf(String model) {
    return report.map(read -> read.versions().getOrDefault(model, 0L)).orElse(0L);
  }

  /** Returns the identity of the server in its current incarnation. */
  private Optional<String> serverId() {
    long startedAt = report.map(EngineReport::startedAtMillis).orElse(0L);
    return servers.values().stream()
        .filter(entry -> entry.address().equals(address))
        .filter(entry -> startedAt == 0 || entry.startedAtMillis() == startedAt)
        .map(ServerEntry::id)
        .findFirst();
  }

  /**
   * Returns the least time between the last announcement and one of the given status. Every router
   * receives a message for each, so small changes of the queue, which routers also notice from
   * their own responses, wait longer.
   */
  private long announcementIntervalMicros(SidecarStatus status) {
    long change =
        announced
            .map(last -> Math.abs(last.queueDelayMicros() - status.queueDelayMicros()))
            .orElse(Long.MAX_VALUE);
    long interval =
        change >= LARGE_QUEUE_CHANGE_MICROS
            ? LARGE_CHANGE_INTERVAL_MICROS
            : SMALL_CHANGE_INTERVAL_MICROS;
    return Math.max(interval, servers.size() * ANNOUNCEMENT_INTERVAL_PER_SERVER_MICROS);
  }

  /** Announces a changed status, and repeats it while the server is unavailable. */
  private void announce(long nowMicros) {
    Optional<String> id = serverId();
    if (id.isEmpty() || report.isEmpty()) {
      return;
    }
    boolean isDown = failedReports >= FAILURES_UNTIL_DOWN;
    boolean isUnavailable = isDown || isOutOfRotation || report.get().isBusy();
    List<ModelVersion> ready =
        isUnavailable
            ? List.of()
            : report.get().versions().entrySet().stream()
                .map(entry -> ModelVersion.of(entry.getKey(), Long.toString(entry.getValue())))
                .toList();
    String incarnation = isDown ? "" : Long.toString(report.get().startedAtMillis());
    long queueMicros = isUnavailable ? 0 : report.get().queueDelayMicros();
    SidecarStatus status = new SidecarStatus(id.get(), incarnation, ready, false, queueMicros);
    boolean hasReadinessChanged = announced.filter(last -> last.ready().equals(ready)).isEmpty();
    long age = nowMicros - announcedAtMicros;
    boolean isQueueChangeDue =
        announced.filter(status::equals).isEmpty() && age >= announcementIntervalMicros(status);
    boolean isRepeatDue = isUnavailable && age >= UNAVAILABLE_ANNOUNCEMENT_INTERVAL_MICROS;
    if (hasReadinessChanged || isQueueChangeDue || isRepeatDue) {
      announced = Optional.of(status);
      announcedAtMicros = nowMicros;
      commands.accept(new WeightCommand.Announce(status, hasReadinessChanged || isRepeatDue));
    }
  }
}
