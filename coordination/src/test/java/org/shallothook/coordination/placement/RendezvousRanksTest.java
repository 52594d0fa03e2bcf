package org.shallothook.coordination.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Ranks equal those of a full sort, and the failure domains of few candidates are read. */
final class RendezvousRanksTest {
  private final AtomicInteger domainsRead = new AtomicInteger();

  private List<PlacementCandidate> servers(int count, int domains) {
    List<PlacementCandidate> servers = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      servers.add(new Server("engine-" + number, "domain-" + number % domains, domainsRead));
    }
    return servers;
  }

  @Property(seed = "55", tries = 300)
  void ranksAreThoseOfAFullSort(
      @ForAll long key,
      @ForAll @IntRange(min = 1, max = 60) int count,
      @ForAll @IntRange(min = 1, max = 7) int domains,
      @ForAll @IntRange(min = 1, max = 9) int wanted) {
    List<PlacementCandidate> servers = servers(count, domains);

    assertThat(RendezvousHash.ranks(servers, key, wanted))
        .isEqualTo(ranksBySorting(servers, key, wanted));
  }

  @ParameterizedTest
  @ValueSource(ints = {680, 1_360, 2_720})
  void domainsOfFewCandidatesOfALargeFleetAreRead(int count) {
    List<PlacementCandidate> servers = servers(count, 6);

    RendezvousHash.ranks(servers, 17, 5);

    assertThat(domainsRead.get()).isLessThan(count);
  }

  private static List<PlacementCandidate> ranksBySorting(
      List<PlacementCandidate> servers, long key, int wanted) {
    List<PlacementCandidate> sorted = new ArrayList<>(servers);
    Comparator<PlacementCandidate> byWeight =
        (one, other) ->
            Long.compareUnsigned(
                RendezvousHash.weight(key, other.hash()), RendezvousHash.weight(key, one.hash()));
    sorted.sort(byWeight);
    Map<String, PlacementCandidate> bestOfDomains = new LinkedHashMap<>();
    sorted.forEach(one -> bestOfDomains.putIfAbsent(one.failureDomain(), one));
    Set<PlacementCandidate> ranks = new LinkedHashSet<>(bestOfDomains.values());
    ranks.addAll(sorted);
    return ranks.stream().limit(wanted).toList();
  }

  private record Server(String name, String failureDomain, AtomicInteger domainsRead)
      implements PlacementCandidate {
    @Override
    public long hash() {
      return RendezvousHash.hashOf(name);
    }

    @Override
    public String failureDomain() {
      domainsRead.incrementAndGet();
      return failureDomain;
    }

    @Override
    public int outstanding() {
      return 0;
    }

    @Override
    public long queueDelayMicros() {
      return 0;
    }
  }
}
