package org.shallothook.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.sidecar.SidecarHarness;

final class FairQueueTest {
  private static final int MAXIMUM_COST = 50;
  private static final int REQUESTS = 400;

  @Property(seed = "42", tries = 200)
  void backloggedTeamsGetEqualCostUpToOneRequest(
      @ForAll @Size(min = 2, max = 6) List<@IntRange(min = 1, max = MAXIMUM_COST) Integer> costs) {
    FairQueue queue = new FairQueue();
    Map<String, Integer> costOf = new HashMap<>();
    for (int team = 0; team < costs.size(); team++) {
      costOf.put("team-" + team, costs.get(team));
      for (int request = 0; request < REQUESTS; request++) {
        queue.add(attempt("team-" + team, request));
      }
    }
    Map<String, Integer> served = new HashMap<>();
    for (int round = 0; round < REQUESTS; round++) {
      AdmittedAttempt next = queue.next(attempt -> true).orElseThrow();
      queue.dequeue(next, costOf.get(next.team()));
      served.merge(next.team(), costOf.get(next.team()), Integer::sum);
      for (String team : costOf.keySet()) {
        for (String other : costOf.keySet()) {
          int difference = served.getOrDefault(team, 0) - served.getOrDefault(other, 0);
          assertThat(difference).isAtMost(costOf.get(team));
        }
      }
    }
  }

  @Property(seed = "43", tries = 100)
  void idleTeamIsServedNextAndGainsNothingFromIdling(
      @ForAll @IntRange(min = 1, max = 200) int roundsBefore) {
    FairQueue queue = new FairQueue();
    for (int request = 0; request < 2 * REQUESTS; request++) {
      queue.add(attempt("busy", request));
    }
    for (int round = 0; round < roundsBefore; round++) {
      queue.dequeue(queue.next(attempt -> true).orElseThrow(), MAXIMUM_COST);
    }
    for (int request = 0; request < 20; request++) {
      queue.add(attempt("idle", request));
    }
    int servedIdle = 0;
    for (int round = 1; round <= 20; round++) {
      AdmittedAttempt next = queue.next(attempt -> true).orElseThrow();
      queue.dequeue(next, MAXIMUM_COST);
      servedIdle += next.team().equals("idle") ? 1 : 0;
      assertThat(servedIdle).isAtMost(round / 2 + 1);
    }
    assertThat(servedIdle).isAtLeast(10);
  }

  private static AdmittedAttempt attempt(String team, int request) {
    PeerMessage.Offer offer = SidecarHarness.offer(team + "-" + request).team(team).build();
    return new AdmittedAttempt(
        "router", offer, 0, new AttemptRecord("router", offer, 0, 0, request));
  }
}
