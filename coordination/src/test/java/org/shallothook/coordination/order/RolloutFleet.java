package org.shallothook.coordination.order;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.shallothook.coordination.fake.FakeLog;
import org.shallothook.coordination.fake.VirtualTime;
import org.shallothook.coordination.lease.LoadSlots;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.AppendKind;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.Outbox;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.ConfigurationState;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceList;
import org.shallothook.state.membership.InstanceRole;

/**
 * Simulated engines and the order logic of their sidecars, over a fake log and in virtual time.
 * Tracks the number of concurrent loads.
 */
final class RolloutFleet {
  private static final long TICK_MICROS = 50_000;
  private static final long LOAD_MICROS = 600_000;

  final SplittableRandom random;
  final VirtualTime time = new VirtualTime(1_000_000_000_000L);
  final FakeLog log;
  final List<Engine> engines = new ArrayList<>();
  ConfigurationState configuration = ConfigurationState.EMPTY;
  boolean checksFencing = true;
  ModelVersion missingWeights;
  int failedLoads;
  int concurrentLoads;
  int maximumConcurrentLoads;

  RolloutFleet(long seed, int count, Set<ModelVersion> initial) {
    random = new SplittableRandom(seed);
    log = new FakeLog(time, random.split());
    for (int i = 0; i < count; i++) {
      engines.add(new Engine("engine-" + i, initial));
    }
    engines.forEach(Engine::restartSidecar);
  }

  boolean allHave(ModelVersion version) {
    return engines.stream().allMatch(engine -> engine.ready.contains(version));
  }

  private InstanceList list() {
    return new InstanceList(
        1,
        engines.stream()
            .map(
                engine ->
                    new Instance(
                        engine.name, InstanceRole.MODEL_ENGINE, "127.0.0.1:1", "a", "r", "", false))
            .toList());
  }

  final class Engine implements Outbox {
    final String name;
    final Set<ModelVersion> ready;
    private LoadSlots slots;
    private EngineOrders orders;
    private long incarnation;
    private long lastFencing;
    private Optional<ModelVersion> loading = Optional.empty();
    private long appends;

    Engine(String name, Set<ModelVersion> initial) {
      this.name = name;
      this.ready = new LinkedHashSet<>(initial);
    }

    void restartSidecar() {
      long started = ++incarnation;
      slots = new LoadSlots(name, incarnation, this);
      orders = new EngineOrders(name, incarnation, 2, slots, this::order, Counters.NONE);
      orders.onInstances(list());
      time.schedule(random.nextLong(TICK_MICROS), () -> tick(started));
    }

    private void tick(long tickedIncarnation) {
      if (tickedIncarnation == incarnation) {
        orders.onTick(configuration, Set.copyOf(ready), time.now());
        time.schedule(TICK_MICROS, () -> tick(tickedIncarnation));
      }
    }

    private void order(SidecarCommand.OrderModelVersion order) {
      boolean isFenced = checksFencing && order.fencing() < lastFencing;
      lastFencing = Math.max(lastFencing, order.fencing());
      boolean isBusy = order.isLoad() && loading.isPresent();
      EngineOrders sender = orders;
      time.schedule(
          1_000, () -> sender.onOrderAnswered(Optional.of(!isFenced && !isBusy), time.now()));
      if (isFenced || isBusy) {
        return;
      }
      if (order.isLoad()) {
        load(order.modelVersion());
      } else {
        ready.remove(order.modelVersion());
      }
    }

    private void load(ModelVersion version) {
      loading = Optional.of(version);
      concurrentLoads++;
      maximumConcurrentLoads = Math.max(maximumConcurrentLoads, concurrentLoads);
      time.schedule(
          LOAD_MICROS * Math.max(1, concurrentLoads - 1),
          () -> {
            concurrentLoads--;
            loading = Optional.empty();
            if (version.equals(missingWeights)) {
              failedLoads++;
            } else {
              ready.add(version);
            }
          });
    }

    @Override
    public void send(String peer, PeerMessage message) {
      throw new AssertionError("EngineOrders must not send peer messages.");
    }

    @Override
    public void readLog(String stream, long fromOffset) {
      LoadSlots reader = slots;
      log.read(stream, fromOffset, page -> reader.onLogRead(page, time.now()), () -> {});
    }

    @Override
    public long appendLog(AppendKind kind, String stream, String payload) {
      log.append(stream, payload, offset -> {}, may -> {});
      return appends++;
    }
  }
}
