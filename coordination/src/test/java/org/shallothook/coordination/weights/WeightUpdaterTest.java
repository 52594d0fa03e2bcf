package org.shallothook.coordination.weights;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.state.log.WrittenTime;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.WeightVersion;

/** Updates one server to new versions, with orders that are lost, late or rejected. */
final class WeightUpdaterTest {
  private static final String ADDRESS = "10.0.0.1:80";
  private static final String MODEL = "linen";
  private final List<WeightCommand> commands = new ArrayList<>();
  private final WeightUpdater updater =
      new WeightUpdater("sidecar-1", ADDRESS, 8_000_000, this::record, DecisionJournal.NONE);
  private long nowMicros = 1_000_000;
  private long version = 1;
  private long acceptedOrders;
  private boolean isBusy;
  private long startedAt = 5;
  private int queued;
  private long nextToken = 10;
  private boolean isReachable = true;
  private boolean isStoreReachable = true;
  private int handledCommands;

  private void record(WeightCommand command) {
    commands.add(command);
  }

  private void handle(WeightEvent event) {
    updater.handle(event, nowMicros);
  }

  /** Advances time; reports, fencing tokens and entries are returned immediately. */
  private void run(long micros) {
    long until = nowMicros + micros;
    while (nowMicros < until) {
      nowMicros += 50_000;
      handle(new WeightEvent.Tick());
      while (handledCommands < commands.size()) {
        WeightCommand command = commands.get(handledCommands++);
        if (command instanceof WeightCommand.ReadReport) {
          handle(new WeightEvent.Reported(report()));
        } else if (command instanceof WeightCommand.AcquireFencingToken) {
          handle(
              new WeightEvent.FencingTokenAcquired(
                  isStoreReachable ? Optional.of(nextToken++) : Optional.empty()));
        } else if (command instanceof WeightCommand.ReadServers) {
          handle(new WeightEvent.ServerListed(entry("engine-1", ADDRESS, startedAt)));
          handle(new WeightEvent.ServersComplete());
        }
      }
    }
  }

  private Either<String, EngineReport> report() {
    return isReachable
        ? Either.right(
            new EngineReport(
                Map.of(MODEL, version), isBusy, acceptedOrders, queued, queued, 0, startedAt))
        : Either.left("connection refused");
  }

  private static ServerEntry entry(String id, String address, long startedAt) {
    return new ServerEntry(
        id, "engines", address, "domain", 8, false, Map.of(MODEL, 1L), startedAt, Optional.empty());
  }

  private void setDesiredVersion(long wanted) {
    handle(
        new WeightEvent.DesiredVersionChanged(
            new WeightVersion(MODEL, wanted), WrittenTime.at(nowMicros)));
  }

  private List<VersionOrder> orders() {
    return commands.stream()
        .filter(WeightCommand.Order.class::isInstance)
        .map(command -> ((WeightCommand.Order) command).order())
        .toList();
  }

  private SidecarStatus lastStatus() {
    return commands.stream()
        .filter(WeightCommand.Announce.class::isInstance)
        .map(command -> ((WeightCommand.Announce) command).status())
        .reduce((first, second) -> second)
        .orElseThrow();
  }

  @Test
  void aNewVersionIsOrderedAfterTheServerIsAnnouncedUnavailable() {
    run(500_000);
    setDesiredVersion(2);
    run(500_000);
    assertThat(orders()).hasSize(1);
    int order = commands.indexOf(new WeightCommand.Order(orders().get(0)));
    boolean isAnnouncedBefore =
        commands.subList(0, order).stream()
            .anyMatch(
                command ->
                    command instanceof WeightCommand.Announce announce
                        && announce.status().ready().isEmpty());
    assertThat(isAnnouncedBefore).isTrue();
    assertThat(orders().get(0).desired().version()).isEqualTo(2);
    assertThat(orders().get(0).server()).isEqualTo("engine-1");
  }

  @Test
  void theServerIsAnnouncedReadyAfterItsLoad() {
    run(500_000);
    setDesiredVersion(2);
    run(500_000);
    handle(new WeightEvent.Ordered(orders().get(0), VersionOrderResult.ACCEPTED));
    acceptedOrders = 1;
    isBusy = true;
    run(600_000);
    assertThat(lastStatus().ready()).isEmpty();
    isBusy = false;
    version = 2;
    run(300_000);
    assertThat(lastStatus().ready()).hasSize(1);
    assertThat(lastStatus().ready().get(0).version()).isEqualTo("2");
    assertThat(orders()).hasSize(1);
  }

  @Test
  void aVersionDesiredDuringALoadIsOrderedAfterIt() {
    run(500_000);
    setDesiredVersion(2);
    run(500_000);
    handle(new WeightEvent.Ordered(orders().get(0), VersionOrderResult.ACCEPTED));
    acceptedOrders = 1;
    isBusy = true;
    setDesiredVersion(3);
    run(1_000_000);
    assertThat(orders()).hasSize(1);
    isBusy = false;
    version = 2;
    run(600_000);
    assertThat(orders()).hasSize(2);
    assertThat(orders().get(1).desired().version()).isEqualTo(3);
    assertThat(orders().get(1).expectedOrders()).isEqualTo(1);
  }

  @Test
  void aWaitingServerKeepsItsLatestStartWhenANewerVersionIsDesired() {
    run(500_000);
    for (int other = 2; other <= 12; other++) {
      handle(new WeightEvent.ServerListed(entry("engine-" + other, "10.0.0." + other + ":80", 5)));
    }
    List<String> unavailable = List.of("engine-2", "engine-3", "engine-4", "engine-5");
    setDesiredVersion(2);
    long desiredSince = nowMicros;
    for (long wanted = 3; orders().isEmpty() && nowMicros < desiredSince + 6_000_000; wanted++) {
      unavailable.forEach(
          one ->
              handle(
                  new WeightEvent.StatusReceived(
                      new SidecarStatus(one, "1", List.of(), false, 0))));
      run(1_000_000);
      setDesiredVersion(wanted);
    }
    assertThat(orders()).isNotEmpty();
    assertThat(nowMicros - desiredSince).isAtMost(6_000_000);
  }

  @ParameterizedTest
  @EnumSource(
      value = VersionOrderResult.class,
      names = {"UNKNOWN", "NOT_SENT", "REJECTED", "BUSY_OR_CHANGED", "OTHER_SERVER", "FENCED"})
  void anOrderWithoutEffectIsRetried(VersionOrderResult answer) {
    run(500_000);
    setDesiredVersion(2);
    run(500_000);
    handle(new WeightEvent.Ordered(orders().get(0), answer));
    run(2_500_000);
    assertThat(orders().size()).isGreaterThan(1);
    assertThat(orders().get(1).expectedOrders()).isEqualTo(0);
  }

  @Test
  void afterARejectedTokenAHigherOneIsAcquired() {
    run(500_000);
    setDesiredVersion(2);
    run(500_000);
    long first = orders().get(0).fencingToken();
    handle(new WeightEvent.Ordered(orders().get(0), VersionOrderResult.FENCED));
    run(2_000_000);
    assertThat(orders().get(1).fencingToken()).isGreaterThan(first);
  }

  // Guards against a server that loads out of turn, as a part of the list gives it the first rank.
  @Test
  void nothingIsOrderedBeforeTheWholeListIsKnown() {
    handle(new WeightEvent.ServerListed(entry("engine-1", ADDRESS, startedAt)));
    setDesiredVersion(2);
    run(2_000_000);
    assertThat(orders()).isEmpty();
    handle(new WeightEvent.ServersComplete());
    run(500_000);
    assertThat(orders()).hasSize(1);
  }

  @Test
  void withoutATokenNothingIsOrdered() {
    WeightUpdater updaterWithoutStore =
        new WeightUpdater("sidecar-1", ADDRESS, 8_000_000, commands::add, DecisionJournal.NONE);
    updaterWithoutStore.handle(
        new WeightEvent.ServerListed(entry("engine-1", ADDRESS, 5)), nowMicros);
    updaterWithoutStore.handle(new WeightEvent.ServersComplete(), nowMicros);
    updaterWithoutStore.handle(new WeightEvent.Reported(report()), nowMicros);
    updaterWithoutStore.handle(
        new WeightEvent.DesiredVersionChanged(
            new WeightVersion(MODEL, 2), WrittenTime.at(nowMicros)),
        nowMicros);
    for (int tick = 0; tick < 100; tick++) {
      nowMicros += 50_000;
      updaterWithoutStore.handle(new WeightEvent.FencingTokenAcquired(Optional.empty()), nowMicros);
    }
    assertThat(orders()).isEmpty();
  }

  @Test
  void withoutATokenTheServerStaysInRotation() {
    isStoreReachable = false;
    run(500_000);
    setDesiredVersion(2);
    run(2_000_000);
    assertThat(lastStatus().ready()).hasSize(1);
    isStoreReachable = true;
    run(2_000_000);
    assertThat(orders()).isNotEmpty();
  }

  @Test
  void theTokenIsAcquiredBeforeItIsNeeded() {
    run(500_000);
    isStoreReachable = false;
    setDesiredVersion(2);
    run(500_000);
    assertThat(orders()).hasSize(1);
  }

  @Test
  void aServerThatDoesNotReportIsAnnouncedDown() {
    run(500_000);
    isReachable = false;
    run(500_000);
    assertThat(lastStatus().ready()).isEmpty();
    assertThat(lastStatus().engineIncarnation()).isEmpty();
    isReachable = true;
    run(500_000);
    assertThat(lastStatus().ready()).hasSize(1);
  }

  @Test
  void theLengthOfTheQueueIsAnnounced() {
    run(500_000);
    queued = 4;
    run(500_000);
    assertThat(lastStatus().queueDelayMicros()).isGreaterThan(0);
  }

  /** Load pattern: queues that change constantly, in services of any size. */
  @ParameterizedTest
  @ValueSource(ints = {1, 8, 37, 100})
  void announcementsOfQueuesDoNotGrowWithTheService(int servers) {
    run(500_000);
    for (int index = 2; index <= servers; index++) {
      String id = "engine-" + index;
      handle(new WeightEvent.ServerListed(entry(id, "10.0.0." + index + ":80", startedAt)));
    }
    commands.clear();
    handledCommands = 0;
    int seconds = 20;
    for (int step = 0; step < 10 * seconds; step++) {
      queued = 10 * (step % 2);
      run(100_000);
    }
    long announced = commands.stream().filter(WeightCommand.Announce.class::isInstance).count();
    long maximumReceived = 1_000_000 / WeightUpdater.ANNOUNCEMENT_INTERVAL_PER_SERVER_MICROS;
    assertThat(servers * announced / seconds).isAtMost(maximumReceived);
  }
}
