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
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.WeightVersion;

/** Servers without a sidecar, several routers, and a virtual clock. */
final class SidecarlessServersTest {
  private static final String MODEL = "linen";
  private static final long SECOND = 1_000_000;
  private static final long TURN = 3 * SECOND;
  private static final int SERVERS = 8;

  /** An order as its server saw it. */
  private record Given(long atMicros, String holder, long fence) {}

  private final Map<String, SidecarlessServers> routers = new TreeMap<>();
  private final Map<String, List<WeightCommand>> pending = new TreeMap<>();
  private final Map<String, Long> versions = new HashMap<>();
  private final Map<String, List<Given>> given = new TreeMap<>();
  private long nowMicros = 50 * SECOND;
  private long nextFence = 1;

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
            TURN,
            (address, command) ->
                pending
                    .computeIfAbsent(name + "|" + address, key -> new ArrayList<>())
                    .add(command),
            DecisionJournal.NONE);
    router.onDesiredVersion(new WeightVersion(MODEL, 1), nowMicros);
    routers.put(name, router);
  }

  private static String address(int index) {
    return "10.0.0." + index + ":80";
  }

  private ServerEntry entry(int index) {
    Map<String, Long> held = Map.of(MODEL, versions.get(address(index)));
    return new ServerEntry(
        "engine-" + index, "engines", address(index), "domain", 8, false, held, 5);
  }

  private void listAll() {
    IntStream.rangeClosed(1, SERVERS)
        .forEach(index -> routers.values().forEach(one -> one.onListed(entry(index), nowMicros)));
  }

  private void name(long version) {
    routers
        .values()
        .forEach(router -> router.onDesiredVersion(new WeightVersion(MODEL, version), nowMicros));
  }

  /** Lets time pass; servers carry orders out at once, and the registry tells soon. */
  private void run(long micros) {
    long until = nowMicros + micros;
    while (nowMicros < until) {
      nowMicros += 100_000;
      List<String> names = List.copyOf(routers.keySet());
      for (String name : names) {
        List<String> others = names.stream().filter(other -> !other.equals(name)).toList();
        routers.get(name).onTick(others, nowMicros);
      }
      answerAll();
      if (nowMicros % SECOND == 0) {
        listAll();
      }
    }
  }

  private void answerAll() {
    while (!pending.isEmpty()) {
      Map<String, List<WeightCommand>> now = new TreeMap<>(pending);
      pending.clear();
      now.forEach(
          (key, commands) -> {
            int end = key.indexOf('|');
            String name = key.substring(0, end);
            if (routers.containsKey(name)) {
              commands.forEach(command -> answer(name, key.substring(end + 1), command));
            }
          });
    }
  }

  private void answer(String name, String address, WeightCommand command) {
    SidecarlessServers router = routers.get(name);
    if (command instanceof WeightCommand.ReadReport) {
      EngineReport report =
          new EngineReport(
              Map.of(MODEL, versions.get(address)), false, orders(address), 0, 0, 0, 5);
      router.handle(address, new WeightEvent.Reported(Either.right(report)), nowMicros);
    } else if (command instanceof WeightCommand.AcquireFencingToken) {
      router.handle(
          address, new WeightEvent.FencingTokenAcquired(Optional.of(nextFence++)), nowMicros);
    } else if (command instanceof WeightCommand.Order order) {
      given
          .computeIfAbsent(address, key -> new ArrayList<>())
          .add(new Given(nowMicros, order.order().holder(), order.order().fence()));
      versions.put(address, order.order().wanted().version());
      router.handle(
          address, new WeightEvent.Ordered(order.order(), OrderAnswer.ACCEPTED), nowMicros);
    } else if (command instanceof WeightCommand.Announce announce) {
      routers.forEach((other, one) -> one.onStatus(announce.status(), false, nowMicros));
    }
  }

  private long orders(String address) {
    return given.getOrDefault(address, List.of()).size();
  }

  private void assertOneHolderAtATime() {
    given.forEach(
        (address, orders) -> {
          for (int index = 1; index < orders.size(); index++) {
            Given earlier = orders.get(index - 1);
            Given later = orders.get(index);
            assertThat(later.fence()).isAtLeast(earlier.fence());
            if (!later.holder().equals(earlier.holder())) {
              assertThat(later.atMicros() - earlier.atMicros()).isAtLeast(TURN);
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
      name(version);
      run(10 * SECOND);
      assertThat(versions.values().stream().distinct().toList()).containsExactly(version);
    }
    given.values().forEach(orders -> assertThat(orders).hasSize(3));
    assertOneHolderAtATime();
  }

  /** Versions that are named while servers are still on their way to earlier ones. */
  @ParameterizedTest
  @ValueSource(longs = {100_000, 700_000, 2_000_000, 4_000_000})
  void versionsInQuickSuccessionEndAtTheNewest(long gapMicros) {
    start(3);
    run(20 * SECOND);
    for (long version = 2; version <= 5; version++) {
      name(version);
      run(gapMicros);
    }
    run(10 * SECOND);
    assertThat(versions.values().stream().distinct().toList()).containsExactly(5L);
    assertOneHolderAtATime();
  }

  @Test
  void anotherRouterTakesOverOnlyAfterTheTurnOfTheOneThatWent() {
    start(4);
    run(20 * SECOND);
    name(2);
    run(10 * SECOND);
    String gone = given.get(address(1)).get(0).holder();

    routers.remove(gone);
    name(3);
    run(20 * SECOND);

    assertThat(versions.values().stream().distinct().toList()).containsExactly(3L);
    assertOneHolderAtATime();
  }

  /** Guards against servers that crash and stay on older weights beyond the bound. */
  @Test
  void aServerThatComesBackOnAKnownHostReachesTheVersionWithinTheBound() {
    start(3);
    run(20 * SECOND);
    name(2);
    run(10 * SECOND);

    versions.put(address(1), 1L);
    given.remove(address(1));
    routers.values().forEach(router -> router.onRemoved("engine-1", nowMicros));
    run(8 * SECOND);

    assertThat(versions.get(address(1))).isEqualTo(2L);
    assertOneHolderAtATime();
  }

  /** Guards against one wait after the other for a server on a host that nobody knew. */
  @Test
  void aServerOnANewHostIsKeptOnceASidecarWouldHaveBeenHeardOf() {
    start(3);
    name(2);
    run(13 * SECOND);

    assertThat(versions.values().stream().distinct().toList()).containsExactly(2L);
    assertOneHolderAtATime();
  }

  @Test
  void aServerWithASidecarIsLeftToIt() {
    start(2);
    routers.values().forEach(router -> router.onSidecar("10.0.0.1:7000"));
    SidecarStatus status =
        new SidecarStatus("engine-2", "5", List.of(ModelVersion.of(MODEL, "1")), false, 0);
    routers.values().forEach(router -> router.onStatus(status, true, nowMicros));

    run(20 * SECOND);
    name(2);
    run(20 * SECOND);

    assertThat(given.keySet()).containsNoneOf(address(1), address(2));
    assertThat(given.keySet()).hasSize(SERVERS - 2);
  }

  @Test
  void nothingIsOrderedBeforeASidecarCouldHaveStarted() {
    start(1);
    name(2);
    run(11 * SECOND);
    assertThat(given).isEmpty();
  }
}
