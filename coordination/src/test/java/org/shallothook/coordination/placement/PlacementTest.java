package org.shallothook.coordination.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.shallothook.coordination.message.Hint;

/** Tests ranks, placement plans, spreads and hint scores. */
final class PlacementTest {

  private record Server(String name, long hash, String failureDomain, int outstanding)
      implements PlacementCandidate {
    static Server of(int number, int outstanding) {
      String name = "engine-" + number;
      return new Server(name, RendezvousHash.hashOf(name), "domain-" + number % 3, outstanding);
    }

    @Override
    public long queueDelayMicros() {
      return 0;
    }
  }

  private static List<Server> servers(int count) {
    List<Server> servers = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      servers.add(Server.of(number, 0));
    }
    return servers;
  }

  private static PlacementQuery query(
      List<Server> servers, long conversation, long tenant, int spread, long sequence) {
    return new PlacementQuery(
        servers,
        List.of(
            new PrefixLevel(PrefixLevel.Kind.CONVERSATION, conversation, 9),
            new PrefixLevel(PrefixLevel.Kind.TENANT, tenant, 6),
            new PrefixLevel(PrefixLevel.Kind.RULEBOOK, 77, 4)),
        level -> spread,
        sequence,
        RendezvousHash.combine(sequence, 5));
  }

  @Property(seed = "51", tries = 300)
  void removingAServerMovesOnlyItsOwnKeys(
      @ForAll long key, @ForAll @IntRange(min = 2, max = 60) int count) {
    List<Server> all = servers(count);
    PlacementCandidate home = RendezvousHash.ranks(all, key, 1).get(0);
    PlacementCandidate second = RendezvousHash.ranks(all, key, count).get(1);
    for (Server removed : all) {
      List<Server> rest = all.stream().filter(one -> !one.equals(removed)).toList();
      PlacementCandidate newHome = RendezvousHash.ranks(rest, key, 1).get(0);
      if (!removed.equals(home)) {
        assertThat(newHome).isEqualTo(home);
      }
    }
    assertThat(second).isNotEqualTo(home);
  }

  @Property(seed = "52", tries = 100)
  void leadingRanksLieInDifferentFailureDomains(@ForAll long key) {
    List<PlacementCandidate> ranks = RendezvousHash.ranks(servers(24), key, 3);

    assertThat(ranks.stream().map(PlacementCandidate::failureDomain).distinct().count())
        .isEqualTo(3);
  }

  @Test
  void losingADomainSpreadsItsKeysOverAllOthers() {
    List<Server> all = servers(12);
    List<Server> rest =
        all.stream().filter(one -> !one.failureDomain().equals("domain-0")).toList();
    Map<PlacementCandidate, Integer> gained = new HashMap<>();
    int lost = 0;
    for (int key = 0; key < 4_000; key++) {
      PlacementCandidate home = RendezvousHash.ranks(all, key, 1).get(0);
      if (home.failureDomain().equals("domain-0")) {
        lost++;
        gained.merge(RendezvousHash.ranks(rest, key, 1).get(0), 1, Integer::sum);
      }
    }
    int evenShare = lost / rest.size();

    assertThat(gained.keySet()).containsExactlyElementsIn(rest);
    gained.values().forEach(share -> assertThat(share).isLessThan(evenShare * 3 / 2));
  }

  @ParameterizedTest
  @EnumSource(PlacementStrategy.class)
  void everyStrategyPlansDistinctCandidatesAndTheSameForTheSameQuery(PlacementStrategy strategy) {
    for (int sequence = 0; sequence < 50; sequence++) {
      PlacementQuery query = query(servers(8), sequence, sequence % 3, 2, sequence);
      PlacementPlan plan = strategy.plan(query);
      Set<String> names = new HashSet<>();
      plan.offers().forEach(offer -> names.add(offer.candidate().name()));

      assertThat(plan.offers()).isNotEmpty();
      assertThat(names).hasSize(plan.offers().size());
      assertThat(strategy.plan(query)).isEqualTo(plan);
    }
  }

  @ParameterizedTest
  @EnumSource(PlacementStrategy.class)
  void everyStrategyCopesWithOneCandidate(PlacementStrategy strategy) {
    assertThat(strategy.plan(query(servers(1), 1, 1, 4, 3)).offers()).hasSize(1);
  }

  @Test
  void conversationsOfATenantShareItsHomeUntilItIsSpread() {
    Set<PlacementCandidate> homes = new HashSet<>();
    Set<PlacementCandidate> spread = new HashSet<>();
    for (int conversation = 0; conversation < 200; conversation++) {
      homes.add(firstOffered(query(servers(24), conversation, 9, 1, 0)));
      spread.add(firstOffered(query(servers(24), conversation, 9, 4, 0)));
    }
    assertThat(homes).hasSize(1);
    assertThat(spread).hasSize(4);
    assertThat(spread).containsAtLeastElementsIn(homes);
  }

  @Test
  void turnsOfAConversationMeetAtTheSameServerInEveryRouter() {
    assertThat(firstOffered(query(servers(24), 5, 9, 4, 0)))
        .isEqualTo(firstOffered(query(servers(24), 5, 9, 4, 8)));
  }

  @Test
  void overloadedMemberOfTheHomeSetIsAskedLater() {
    List<Server> servers = servers(8);
    PlacementCandidate home = firstOffered(query(servers, 5, 9, 2, 0));
    servers.replaceAll(
        one ->
            one.equals(home) ? new Server(one.name(), one.hash(), one.failureDomain(), 90) : one);

    assertThat(firstOffered(query(servers, 5, 9, 2, 0)).name()).isNotEqualTo(home.name());
  }

  private static PlacementCandidate firstOffered(PlacementQuery query) {
    return PlacementStrategy.PREFIX_AFFINITY.plan(query).offers().get(0).candidate();
  }

  @Test
  void spreadHoldsUntilItsDeadline() {
    SpreadCache spreads = new SpreadCache(1_000);
    PrefixLevel home = new PrefixLevel(PrefixLevel.Kind.TENANT, 3, 6);
    spreads.onHint(home, new Hint(6, 0, 4, 4), 10_000);
    spreads.onHint(home, Hint.NONE, 10_500);

    assertThat(spreads.spreadOf(home, 11_000)).isEqualTo(4);
    assertThat(spreads.spreadOf(home, 11_001)).isEqualTo(1);
  }

  @Test
  void matchedBlocksAreWeighedAgainstQueueDelay() {
    HintScore score = new HintScore(20_000, 2_000, 30_000);
    Hint cachedButBusy = new Hint(10, 150_000, 1, 0);
    Hint idleButEmpty = new Hint(0, 0, 1, 0);

    assertThat(score.costMicros(cachedButBusy, 10, false))
        .isLessThan(score.costMicros(idleButEmpty, 10, true));
    assertThat(score.costMicros(cachedButBusy, 4, false))
        .isGreaterThan(score.costMicros(idleButEmpty, 4, true));
    assertThat(score.costMicros(idleButEmpty, 4, true))
        .isLessThan(score.costMicros(idleButEmpty, 4, false));
    assertThat(score.isWorseThanExpected(idleButEmpty, 2)).isTrue();
    assertThat(score.isWorseThanExpected(idleButEmpty, 1)).isFalse();
  }
}
