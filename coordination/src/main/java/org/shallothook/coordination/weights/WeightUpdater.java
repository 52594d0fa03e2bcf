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
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.WeightVersion;

/**
 * Decides when the model server beside this process loads new weights, and what routers are told.
 *
 * <p>Only this process orders its server. Each life of the process takes a new fencing number, so
 * that orders of an earlier one which arrive late are rejected; and each order names the number of
 * orders that the server has accepted, so that it has no effect once another was.
 *
 * <p>Invariant: one order is open at a time, with a number taken in this life. Not thread-safe: one
 * decision thread owns it.
 */
public final class WeightUpdater {
  /** Longest time between two ticks, in microseconds. */
  public static final long TICK_INTERVAL_MICROS = 100_000;

  /** Time between two reports while the server is away for new weights or down. */
  private static final long REPORT_MICROS = 100_000;

  /** Time between two reports of a server that serves. */
  private static final long SERVING_REPORT_MICROS = 250_000;

  /** Time between two tries to take a number or to find the server's identity. */
  private static final long RETRY_MICROS = 500_000;

  /** Time after an order without a known answer at which its effect must show in the report. */
  private static final long ORDER_PATIENCE_MICROS = 800_000;

  /** Time between two announcements that the server takes no work. */
  private static final long REPEAT_MICROS = 1_000_000;

  /** Longest time that prompts already sent are waited for before an order turns them away. */
  private static final long QUEUE_DRAIN_MICROS = 350_000;

  /** Time between two announcements of a queue that has changed by much. */
  private static final long LOAD_MICROS = 250_000;

  /** Time between two announcements of a queue that has changed by less. */
  private static final long SMALL_LOAD_MICROS = 800_000;

  /**
   * Time between two announcements of a changed queue for each server of the service, in
   * microseconds, so that routers of larger services hear no more of them.
   */
  static final long LOAD_PER_SERVER_MICROS = 20_000;

  /** Change of a queue's delay that routers hear of soon, in microseconds. */
  private static final long LARGE_CHANGE_MICROS = 2 * EngineReport.READ_HINT_MICROS;

  /** Reports that must fail in a row before the server counts as down. */
  private static final int FAILURES_OF_A_DOWN_SERVER = 2;

  private final String name;
  private final String address;
  private final Consumer<WeightCommand> commands;
  private final DecisionJournal journal;
  private final Map<String, WeightVersion> wanted = new HashMap<>();
  private final Map<String, Long> namedAtMicros = new HashMap<>();
  private final Map<String, ServerEntry> servers = new HashMap<>();
  private Optional<EngineReport> report = Optional.empty();
  private Optional<Long> fence = Optional.empty();
  private Optional<VersionOrder> open = Optional.empty();
  private Optional<SidecarStatus> announced = Optional.empty();
  private boolean isReading;
  private boolean isTakingFence;
  private int failedReports;
  private long nextReportMicros;
  private long nextFenceMicros;
  private long nextServersMicros;
  private long nextOrderMicros;
  private long announcedAtMicros;
  private boolean isLoading;
  private long awaySinceMicros;
  private final RolloutSchedule schedule;

  /**
   * Creates a keeper that knows nothing of its server.
   *
   * @param name name of this process
   * @param address {@code IP:port} of the server
   * @param boundMicros time after which no request may begin on older weights, in microseconds
   * @param commands takes each command in order
   * @param journal takes a line for each decision
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

  /** Reacts to one event. */
  public void handle(WeightEvent event, long nowMicros) {
    if (event instanceof WeightEvent.DesiredVersionChanged named) {
      onDesiredVersion(named.desired(), nowMicros);
    } else if (event instanceof WeightEvent.Reported reported) {
      isReading = false;
      reported.answer().peek(read -> onReport(read, nowMicros)).peekLeft(this::onNoReport);
    } else if (event instanceof WeightEvent.Ordered ordered) {
      onOrdered(ordered, nowMicros);
    } else if (event instanceof WeightEvent.FencingTokenAcquired taken) {
      isTakingFence = false;
      fence = taken.fence();
    } else if (event instanceof WeightEvent.ServerListed listed) {
      servers.put(listed.entry().id(), listed.entry());
    } else if (event instanceof WeightEvent.StatusReceived heard) {
      schedule.onStatus(heard.status(), nowMicros);
    } else if (event instanceof WeightEvent.ServerRemoved removed) {
      servers.remove(removed.id());
    }
    act(nowMicros);
  }

  private void onDesiredVersion(WeightVersion version, long nowMicros) {
    WeightVersion known = wanted.get(version.model());
    if (known == null || known.version() < version.version()) {
      // A server that has not reached the version before keeps its place in time.
      boolean isUpToDate = known == null || versionOf(version.model()) >= known.version();
      if (isUpToDate) {
        namedAtMicros.put(version.model(), nowMicros);
      }
      wanted.put(version.model(), version);
      nextServersMicros = nowMicros;
      nextReportMicros = nowMicros;
      journal.write(Decision.WEIGHTS, version.model(), "version", version.version());
    }
  }

  private void onReport(EngineReport newer, long nowMicros) {
    boolean hasRestarted =
        report.filter(older -> older.startedAtMillis() != newer.startedAtMillis()).isPresent();
    if (hasRestarted) {
      open = Optional.empty();
      nextServersMicros = nowMicros;
    }
    report = Optional.of(newer);
    failedReports = 0;
    boolean wasCarriedOut =
        open.filter(order -> versionOf(order.wanted().model()) >= order.wanted().version())
            .isPresent();
    boolean wasAccepted =
        open.filter(order -> newer.acceptedOrders() > order.expectedOrders()).isPresent();
    boolean isSettled = wasAccepted && !newer.isBusy();
    if (wasCarriedOut || isSettled) {
      journal.write(
          Decision.ORDER,
          serverId().orElse(address),
          "outcome",
          "ended",
          "versions",
          newer.versions());
      open = Optional.empty();
    }
  }

  private void onNoReport(String detail) {
    failedReports++;
    if (failedReports == FAILURES_OF_A_DOWN_SERVER) {
      journal.write(Decision.DEPENDENCY, address, "outcome", "lost", "detail", detail);
    }
  }

  private void onOrdered(WeightEvent.Ordered ordered, long nowMicros) {
    journal.write(
        Decision.ORDER,
        ordered.order().server(),
        "version",
        ordered.order().wanted().version(),
        "fence",
        ordered.order().fence(),
        "outcome",
        ordered.answer());
    nextReportMicros = nowMicros;
    switch (ordered.answer()) {
      case ACCEPTED, UNKNOWN -> nextOrderMicros = nowMicros + ORDER_PATIENCE_MICROS;
      case FENCED -> {
        fence = Optional.empty();
        open = Optional.empty();
      }
      case OTHER_SERVER -> {
        open = Optional.empty();
        nextServersMicros = nowMicros;
        nextOrderMicros = nowMicros + RETRY_MICROS;
      }
      case ALREADY_HOLDS -> open = Optional.empty();
      case BUSY_OR_CHANGED, NOT_SENT -> {
        open = Optional.empty();
        nextOrderMicros = nowMicros + REPORT_MICROS;
      }
      case REJECTED -> {
        open = Optional.empty();
        nextOrderMicros = nowMicros + RETRY_MICROS;
      }
    }
  }

  private void act(long nowMicros) {
    Optional<WeightVersion> next = nextVersion();
    advance(next.flatMap(this::rollout), nowMicros);
    readReport(nowMicros);
    if (serverId().isEmpty() && nowMicros >= nextServersMicros) {
      nextServersMicros = nowMicros + RETRY_MICROS;
      commands.accept(new WeightCommand.ReadServers());
    }
    // Taken ahead of need, so that an outage of the store keeps no server from new weights.
    if (fence.isEmpty() && !isTakingFence && nowMicros >= nextFenceMicros) {
      isTakingFence = true;
      nextFenceMicros = nowMicros + RETRY_MICROS;
      commands.accept(new WeightCommand.AcquireFencingToken());
    }
    announce(nowMicros);
    if (isLoading) {
      order(next.orElseThrow(), nowMicros);
    }
  }

  /** Takes the server away from callers once its turn has come, until it has the version. */
  private void advance(Optional<RolloutSchedule.Rollout> next, long nowMicros) {
    boolean wasLoading = isLoading;
    isLoading =
        fence.isPresent()
            && next.filter(rollout -> wasLoading || schedule.hasCome(rollout, nowMicros))
                .isPresent();
    if (isLoading && !wasLoading) {
      awaySinceMicros = nowMicros;
    }
  }

  private void readReport(long nowMicros) {
    if (!isReading && nowMicros >= nextReportMicros) {
      isReading = true;
      boolean isServing = !isLoading && failedReports == 0 && report.isPresent();
      nextReportMicros = nowMicros + (isServing ? SERVING_REPORT_MICROS : REPORT_MICROS);
      commands.accept(new WeightCommand.ReadReport());
    }
  }

  private void order(WeightVersion next, long nowMicros) {
    boolean isOver = open.isPresent() && nowMicros >= nextOrderMicros && !report.get().isBusy();
    if (isOver) {
      open = Optional.empty();
    }
    long awayMicros = nowMicros - awaySinceMicros;
    boolean isQueueDrained =
        awayMicros >= QUEUE_DRAIN_MICROS
            || (awayMicros >= 2 * REPORT_MICROS && report.get().queuedPrefills() == 0);
    boolean mayOrder =
        open.isEmpty()
            && isQueueDrained
            && fence.isPresent()
            && serverId().isPresent()
            && !report.get().isBusy()
            && nowMicros >= nextOrderMicros;
    if (mayOrder) {
      VersionOrder order =
          new VersionOrder(
              serverId().get(), next, name, fence.get(), report.get().acceptedOrders());
      open = Optional.of(order);
      nextOrderMicros = nowMicros + ORDER_PATIENCE_MICROS;
      commands.accept(new WeightCommand.Order(order));
    }
  }

  /** Returns the version that the server lacks, if it reports. */
  private Optional<WeightVersion> nextVersion() {
    if (report.isEmpty() || failedReports >= FAILURES_OF_A_DOWN_SERVER) {
      return Optional.empty();
    }
    return wanted.values().stream()
        .filter(version -> report.get().versions().containsKey(version.model()))
        .filter(version -> versionOf(version.model()) < version.version())
        .findFirst();
  }

  private Optional<RolloutSchedule.Rollout> rollout(WeightVersion version) {
    return serverId()
        .map(
            id -> {
              String service = servers.get(id).service();
              List<ServerEntry> all =
                  servers.values().stream()
                      .filter(entry -> entry.service().equals(service) && !entry.isLeaving())
                      .toList();
              long namedAt = namedAtMicros.get(version.model());
              return new RolloutSchedule.Rollout(id, all, version, namedAt);
            });
  }

  private long versionOf(String model) {
    return report.map(read -> read.versions().getOrDefault(model, 0L)).orElse(0L);
  }

  /** Returns the identity that the server has in its present life. */
  private Optional<String> serverId() {
    long startedAt = report.map(EngineReport::startedAtMillis).orElse(0L);
    return servers.values().stream()
        .filter(entry -> entry.address().equals(address))
        .filter(entry -> startedAt == 0 || entry.startedAtMillis() == startedAt)
        .map(ServerEntry::id)
        .findFirst();
  }

  /**
   * Returns how soon a status follows the last one: every router takes a message for each, so small
   * changes of a queue, which routers see in their own answers as well, wait longer.
   */
  private long announcementGapMicros(SidecarStatus status) {
    long change =
        announced
            .map(last -> Math.abs(last.queueDelayMicros() - status.queueDelayMicros()))
            .orElse(Long.MAX_VALUE);
    long gap = change >= LARGE_CHANGE_MICROS ? LOAD_MICROS : SMALL_LOAD_MICROS;
    return Math.max(gap, servers.size() * LOAD_PER_SERVER_MICROS);
  }

  /** Tells routers what has changed, and repeats it while the server takes no work. */
  private void announce(long nowMicros) {
    Optional<String> id = serverId();
    if (id.isEmpty() || report.isEmpty()) {
      return;
    }
    boolean isDown = failedReports >= FAILURES_OF_A_DOWN_SERVER;
    boolean isHeld = isDown || isLoading || report.get().isBusy();
    List<ModelVersion> ready =
        isHeld
            ? List.of()
            : report.get().versions().entrySet().stream()
                .map(entry -> ModelVersion.of(entry.getKey(), Long.toString(entry.getValue())))
                .toList();
    String incarnation = isDown ? "" : Long.toString(report.get().startedAtMillis());
    long queueMicros = isHeld ? 0 : report.get().queueDelayMicros();
    SidecarStatus status = new SidecarStatus(id.get(), incarnation, ready, false, queueMicros);
    boolean isReadinessNew = announced.filter(last -> last.ready().equals(ready)).isEmpty();
    long age = nowMicros - announcedAtMicros;
    boolean isQueueNew =
        announced.filter(status::equals).isEmpty() && age >= announcementGapMicros(status);
    boolean isRepeated = isHeld && age >= REPEAT_MICROS;
    if (isReadinessNew || isQueueNew || isRepeated) {
      announced = Optional.of(status);
      announcedAtMicros = nowMicros;
      commands.accept(new WeightCommand.Announce(status, isReadinessNew || isRepeated));
    }
  }
}
