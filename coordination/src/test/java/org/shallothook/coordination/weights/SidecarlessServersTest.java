package org.shallothook.coordination.weights;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.log.WrittenTime;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.WeightVersion;

/** Several routers update servers without a sidecar, on a virtual clock. */
final class SidecarlessServersTest {
  private static final String MODEL = "linen";
  private static final long SECOND = 1_000_000;
  private static final long HANDOVER = 3 * SECOND;
  private static final int SERVERS = 8;

  /** A load order received by a server. */
  private record ReceivedOrder(long atMicros, String holder, long fencingToken) {}

  private final Map<String, SidecarlessServers> routers = new TreeMap<>();
  private final Map<String, List<WeightCommand>> pending = new TreeMap<>();
  private final Map<String, Long> versions = new HashMap<>();
  private final Map<String, List<ReceivedOrder>> receivedOrders = new TreeMap<>();
  private long nowMicros = 50 * SECOND;
  private long nextToken = 1;

  private void start(int count) {
    IntStream.rangeClosed(1, count).forEach(index -> start("router-" + index));
    IntStream.rangeClosed(1, SERVERS).forEach(index -> versions.put(address(index), 1L));
    listAll();
  }

  private void start(String name) {
    SidecarlessServers router =
        new SidecarlessServers(
            name,
            8 * SECOND,
            HANDOVER,
            (address, command) ->
                pending
                    .computeIfAbsent(name + "|" + address, key -> new ArrayList<>())
                    .add(command),
            DecisionJournal.NONE);
    router.onDesiredVersion(new WeightVersion(MODEL, 1), WrittenTime.at(nowMicros), nowMicros);
    routers.put(name, router);
  }

  private static String address(int index) {
    return "10.0.0." + index + ":80";
  }

  private ServerEntry entry(int index) {
    Map<String, Long> held = Map.of(MODEL, versions.get(address(index)));
    return new ServerEntry(
        "engine-" + index,
        "engines",
        address(index),
        "domain",
        8,
        false,
        held,
        5,
        Optional.empty());
  }

  private void listAll() {
    IntStream.rangeClosed(1, SERVERS)
        .forEach(index -> routers.values().forEach(one -> one.onListed(entry(index), nowMicros)));
    routers.values().forEach(one -> one.onAllListed(nowMicros));
  }

  private void setDesiredVersion(long version) {
    routers
        .values()
        .forEach(
            router ->
                router.onDesiredVersion(
                    new WeightVersion(MODEL, version), WrittenTime.at(nowMicros), nowMicros));
  }

  /**
   * Advances time; servers carry out orders immediately, and the registry lists them each second.
   */
  private void run(long micros) {
    long until = nowMicros + micros;
    while (nowMicros < until) {
      nowMicros += 100_000;
      List<String> names = List.copyOf(routers.keySet());
      for (String name : names) {
        List<String> others = names.stream().filter(other -> !other.equals(name)).toList();
        routers.get(name).onTick(others, nowMicros);
      }
      executeCommands();
      if (nowMicros % SECOND == 0) {
        listAll();
      }
    }
  }

  private void executeCommands() {
    while (!pending.isEmpty()) {
      Map<String, List<WeightCommand>> batch = new TreeMap<>(pending);
      pending.clear();
      batch.forEach(
          (key, commands) -> {
            int end = key.indexOf('|');
            String name = key.substring(0, end);
            if (routers.containsKey(name)) {
              commands.forEach(command -> execute(name, key.substring(end + 1), command));
            }
          });
    }
  }

  private void execute(String name, String address, WeightCommand command) {
    SidecarlessServers router = routers.get(name);
    if (command instanceof WeightCommand.ReadReport) {
      EngineReport report =
          new EngineReport(
              Map.of(MODEL, versions.get(address)), false, orderCount(address), 0, 0, 0, 5);
      router.handle(address, new WeightEvent.Reported(Either.right(report)), nowMicros);
    } else if (command instanceof WeightCommand.AcquireFencingToken) {
      router.handle(
          address, new WeightEvent.FencingTokenAcquired(Optional.of(nextToken++)), nowMicros);
    } else if (command instanceof WeightCommand.Order order) {
      receivedOrders
          .computeIfAbsent(address, key -> new ArrayList<>())
          .add(new ReceivedOrder(nowMicros, order.order().holder(), order.order().fencingToken()));
      versions.put(address, order.order().desired().version());
      router.handle(
          address, new WeightEvent.Ordered(order.order(), VersionOrderResult.ACCEPTED), nowMicros);
    } else if (command instanceof WeightCommand.ReadMembers) {
      router.onMembersComplete(nowMicros);
    } else if (command instanceof WeightCommand.Announce announce) {
      routers.forEach((other, one) -> one.onStatus(announce.status(), false, nowMicros));
    }
  }

  private long orderCount(String address) {
    return receivedOrders.getOrDefault(address, List.of()).size();
  }

  private void assertHandoversAreSpaced() {
    receivedOrders.forEach(
        (address, orders) -> {
          for (int index = 1; index < orders.size(); index++) {
            ReceivedOrder earlier = orders.get(index - 1);
            ReceivedOrder later = orders.get(index);
            assertThat(later.fencingToken()).isAtLeast(earlier.fencingToken());
            if (!later.holder().equals(earlier.holder())) {
              assertThat(later.atMicros() - earlier.atMicros()).isAtLeast(HANDOVER);
            }
          }
        });
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 5})
  void everyServerReachesEachVersionByOneRouter(int count) {
    start(count);
    run(20 * SECOND);
    for (long version = 2; version <= 4; version++) {
      setDesiredVersion(version);
      run(10 * SECOND);
      assertThat(versions.values().stream().distinct().toList()).containsExactly(version);
    }
    receivedOrders.values().forEach(orders -> assertThat(orders).hasSize(3));
    assertHandoversAreSpaced();
  }

  /** New versions become desired while servers still load earlier ones. */
  @ParameterizedTest
  @ValueSource(longs = {100_000, 700_000, 2_000_000, 4_000_000})
  void versionsInQuickSuccessionEndAtTheNewest(long gapMicros) {
    start(3);
    run(20 * SECOND);
    for (long version = 2; version <= 5; version++) {
      setDesiredVersion(version);
      run(gapMicros);
    }
    run(10 * SECOND);
    assertThat(versions.values().stream().distinct().toList()).containsExactly(5L);
    assertHandoversAreSpaced();
  }

  @Test
  void anotherRouterTakesOverOnlyAfterTheHandoverTime() {
    start(4);
    run(20 * SECOND);
    setDesiredVersion(2);
    run(10 * SECOND);
    String removedRouter = receivedOrders.get(address(1)).get(0).holder();

    routers.remove(removedRouter);
    setDesiredVersion(3);
    run(20 * SECOND);

    assertThat(versions.values().stream().distinct().toList()).containsExactly(3L);
    assertHandoversAreSpaced();
  }

  /** Guards against servers that crash and serve older weights beyond the time limit. */
  @Test
  void aServerThatComesBackOnAKnownHostReachesTheVersionWithinTheBound() {
    start(3);
    run(20 * SECOND);
    setDesiredVersion(2);
    run(10 * SECOND);

    versions.put(address(1), 1L);
    receivedOrders.remove(address(1));
    routers.values().forEach(router -> router.onRemoved("engine-1", nowMicros));
    run(8 * SECOND);

    assertThat(versions.get(address(1))).isEqualTo(2L);
    assertHandoversAreSpaced();
  }

  /**
   * Guards against the handover wait being added to the sidecar wait for a server on a new host.
   */
  @Test
  void aServerOnANewHostIsOwnedOnceTheSidecarStartTimeoutHasPassed() {
    start(3);
    setDesiredVersion(2);
    run(13 * SECOND);

    assertThat(versions.values().stream().distinct().toList()).containsExactly(2L);
    assertHandoversAreSpaced();
  }

  @Test
  void aServerWithASidecarIsLeftToIt() {
    start(2);
    routers.values().forEach(router -> router.onSidecar("10.0.0.1:7000"));
    SidecarStatus status =
        new SidecarStatus("engine-2", "5", List.of(ModelVersion.of(MODEL, "1")), false, 0);
    routers.values().forEach(router -> router.onStatus(status, true, nowMicros));

    run(20 * SECOND);
    setDesiredVersion(2);
    run(20 * SECOND);

    assertThat(receivedOrders.keySet()).containsNoneOf(address(1), address(2));
    assertThat(receivedOrders.keySet()).hasSize(SERVERS - 2);
  }

  @Test
  void nothingIsOrderedBeforeASidecarCouldHaveStarted() {
    start(1);
    setDesiredVersion(2);
    run(11 * SECOND);
    assertThat(receivedOrders).isEmpty();
  }
}
