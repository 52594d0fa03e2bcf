package org.shallothook.coordination.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceRole;

/** Tests that slow upstreams are ejected, up to the maximum share. */
final class SlownessDetectorTest {

  @ParameterizedTest(name = "{0} of {1} slow, share {2}: {3} ejected")
  @CsvSource({
    "0, 6, 0.34, 0",
    "1, 6, 0.34, 1",
    "2, 6, 0.34, 2",
    "3, 6, 0.34, 2",
    "2, 6, 0.20, 1",
    "1, 2, 0.50, 0",
    "1, 6, 0.10, 0",
  })
  void ejectsOutliersUpToTheShare(int slow, int count, double share, int expected) {
    SlownessDetector detector = new SlownessDetector(share, 10_000_000);
    List<Upstream> peers = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      peers.add(
          new Upstream(
              new Instance(
                  "engine-" + number, InstanceRole.MODEL_ENGINE, "", "a", "north", "", false)));
    }
    int ejected = 0;
    for (int round = 0; round < 20; round++) {
      for (int number = 0; number < count; number++) {
        long excess = number < slow ? 3_000_000 : 20_000;
        ejected += detector.onSample(peers.get(number), peers, excess, 1_000) ? 1 : 0;
      }
    }
    assertThat(ejected).isEqualTo(expected);
    assertThat(peers.stream().filter(peer -> peer.isEjected(1_000)).count()).isEqualTo(expected);
    assertThat(peers.stream().filter(peer -> peer.isEjected(10_001_000)).count()).isEqualTo(0);
  }
}
