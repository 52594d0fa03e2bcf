package org.shallothook.coordination.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Places calls without a prompt on the least loaded server, preferring the own failure domain.
 *
 * <p>Handles servers that fail or are slow although they report good health: the smoothed response
 * time and failure rate of a server increase its weighted load, so that it is used only as far as
 * the others are busy.
 *
 * <p>Invariant: a server without a free slot is never chosen. Not thread-safe.
 */
final class CallPlacement {
  /** Open requests by which a server of another failure domain counts as more loaded. */
  private static final double OTHER_DOMAIN_PENALTY = 1.2;

  private final String failureDomain;
  private final SplittableRandom random;

  CallPlacement(String failureDomain, SplittableRandom random) {
    this.failureDomain = failureDomain;
    this.random = random;
  }

  /** Returns the server to send to; empty if no server has a free slot. */
  Optional<Server> choose(List<Server> servers, long nowMicros) {
    List<Server> available =
        servers.stream().filter(server -> server.hasFreeSlot(nowMicros)).toList();
    if (available.isEmpty()) {
      return Optional.empty();
    }
    int offset = random.nextInt(available.size());
    List<Server> rotated = new ArrayList<>(available.subList(offset, available.size()));
    rotated.addAll(available.subList(0, offset));
    double fastest = available.stream().mapToDouble(Server::responseMicros).min().orElse(0);
    return rotated.stream()
        .min(Comparator.comparingDouble(server -> weightedLoad(server, fastest)));
  }

  private double weightedLoad(Server server, double fastestMicros) {
    double domainPenalty = server.failureDomain().equals(failureDomain) ? 0 : OTHER_DOMAIN_PENALTY;
    double slowness = fastestMicros > 0 ? server.responseMicros() / fastestMicros : 1;
    double failures = 1 / Math.max(0.1, 1 - server.failureRate());
    return (server.outstanding() + 1 + domainPenalty) * Math.max(1, slowness) * failures;
  }
}
