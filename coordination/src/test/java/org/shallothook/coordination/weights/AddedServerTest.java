package org.shallothook.coordination.weights;

import static com.google.common.truth.Truth.assertThat;
import static org.shallothook.coordination.weights.AddedServerFleet.BOUND;
import static org.shallothook.coordination.weights.AddedServerFleet.HANDOVER;
import static org.shallothook.coordination.weights.AddedServerFleet.SECOND;
import static org.shallothook.coordination.weights.AddedServerFleet.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.shallothook.coordination.weights.AddedServerFleet.ReceivedOrder;

/** Guards against a router and a sidecar that both order a server which has just been added. */
final class AddedServerTest {
  private static final int SEEDS = 400;

  /**
   * Two servers run; a third is added with its sidecar, one of the first leaves, and new weights
   * are named twice.
   */
  private static AddedServerFleet addServer(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    AddedServerFleet fleet = new AddedServerFleet(random.nextLong());
    String stays = "engine-" + random.nextInt(1_000_000);
    String leaves = "engine-" + random.nextInt(1_000_000);
    String added = "engine-" + random.nextInt(1_000_000);
    fleet.addServer(stays);
    fleet.addServer(leaves);
    fleet.startSidecar(host(1), 0);
    fleet.startSidecar(host(2), 0);
    fleet.setDesiredVersion(1);
    fleet.run(30 * SECOND + random.nextLong(20 * SECOND));
    boolean isSidecarFirst = random.nextBoolean();
    if (!isSidecarFirst) {
      fleet.addServer(added);
      fleet.run(random.nextLong(4 * SECOND));
    }
    fleet.startSidecar(host(3), random.nextLong(2 * SECOND));
    if (isSidecarFirst) {
      fleet.run(random.nextLong(4 * SECOND));
      fleet.addServer(added);
    }
    fleet.run(4 * SECOND + random.nextLong(4 * SECOND));
    fleet.removeServer(leaves);
    fleet.run(random.nextLong(10 * SECOND));
    fleet.setDesiredVersion(2);
    fleet.run(SECOND + random.nextLong(2 * SECOND));
    fleet.setDesiredVersion(3);
    fleet.run(BOUND);
    assertThat(List.of(fleet.versionOf(stays), fleet.versionOf(added))).containsExactly(3L, 3L);
    return fleet;
  }

  /** Returns the orders that came from another holder less than its turn after the last one. */
  private static List<ReceivedOrder> turnsIn(AddedServerFleet fleet) {
    List<ReceivedOrder> turns = new ArrayList<>();
    Map<String, ReceivedOrder> latest = new HashMap<>();
    for (ReceivedOrder order : fleet.orders()) {
      ReceivedOrder earlier = latest.put(order.server(), order);
      if (earlier != null
          && !earlier.holder().equals(order.holder())
          && order.atMicros() - earlier.atMicros() < HANDOVER) {
        turns.add(order);
      }
    }
    return turns;
  }

  @Test
  void anAddedServerHasOneHolderWhateverIsKnownFirst() {
    Map<Long, List<ReceivedOrder>> turns = new TreeMap<>();
    for (long seed = 1; seed <= SEEDS; seed++) {
      List<ReceivedOrder> taken = turnsIn(addServer(seed));
      if (!taken.isEmpty()) {
        turns.put(seed, taken);
      }
    }
    assertThat(turns).isEmpty();
  }

  /** The wait for a sidecar, one tick, one read and a load: no interval between reads is added. */
  @Test
  void aServerWithoutSidecarGetsItsOrderOnceASidecarWouldHaveStarted() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      AddedServerFleet fleet = new AddedServerFleet(seed);
      fleet.setDesiredVersion(2);
      fleet.run(SECOND);
      fleet.addServer("engine-" + seed);
      long addedAtMicros = fleet.now();
      fleet.run(20 * SECOND);
      List<ReceivedOrder> orders = fleet.orders();
      assertThat(orders).hasSize(1);
      long waitMicros = orders.get(0).atMicros() - addedAtMicros;
      assertThat(waitMicros).isAtLeast(SidecarDiscovery.SIDECAR_START_MICROS);
      assertThat(waitMicros).isAtMost(SidecarDiscovery.SIDECAR_START_MICROS + 2 * SECOND);
      assertThat(fleet.membersReads()).isAtMost(1);
    }
  }
}
