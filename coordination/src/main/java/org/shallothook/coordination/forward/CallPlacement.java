package org.shallothook.coordination.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Places calls without a prompt at the server with the least to do, the own failure domain first.
 *
 * <p>Pattern answered: servers that fail or are slow while their health looks good. The smoothed
 * time and failures of each count as more to do, so that it is used as far as the others are full.
 *
 * <p>Invariant: a server without a free place is never picked. Not thread-safe.
 */
final class CallPlacement {
  /** Open requests that a server of another failure domain must have less to be preferred. */
  private static final double DOMAIN_PREFERENCE = 1.2;

  private final String failureDomain;
  private final SplittableRandom random;

  CallPlacement(String failureDomain, SplittableRandom random) {
    this.failureDomain = failureDomain;
    this.random = random;
  }

  /** Returns the server to send to, if one has a place. */
  Optional<Server> choose(List<Server> servers) {
    List<Server> open = servers.stream().filter(Server::hasPlace).toList();
    if (open.isEmpty()) {
      return Optional.empty();
    }
    int offset = random.nextInt(open.size());
    List<Server> rotated = new ArrayList<>(open.subList(offset, open.size()));
    rotated.addAll(open.subList(0, offset));
    double typical = open.stream().mapToDouble(Server::answerMicros).min().orElse(0);
    return rotated.stream().min(Comparator.comparingDouble(server -> load(server, typical)));
  }

  private double load(Server server, double typicalMicros) {
    double distance = server.failureDomain().equals(failureDomain) ? 0 : DOMAIN_PREFERENCE;
    double slowness = typicalMicros > 0 ? server.answerMicros() / typicalMicros : 1;
    double failures = 1 / Math.max(0.1, 1 - server.failureShare());
    return (server.outstanding() + 1 + distance) * Math.max(1, slowness) * failures;
  }
}
