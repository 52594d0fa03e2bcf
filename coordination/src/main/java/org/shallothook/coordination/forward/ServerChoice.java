package org.shallothook.coordination.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.shallothook.coordination.placement.PlacementCandidate;
import org.shallothook.coordination.placement.PlacementPlan;
import org.shallothook.coordination.placement.PlacementQuery;
import org.shallothook.coordination.placement.PlacementStrategy;
import org.shallothook.coordination.placement.PlannedOffer;
import org.shallothook.coordination.placement.PrefixLevel;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.state.route.PromptOutline;
import org.shallothook.state.route.PromptOutline.Part;

/**
 * Picks the server for a request.
 *
 * <p>Patterns answered: prompts with a shared opening meet where it is cached, and move on along
 * their ranks where that server has more than its share; calls without a prompt go to the server
 * with the least to do, the own failure domain first; servers that fail much are used last.
 *
 * <p>Invariant: a server without a free place is never picked. Not thread-safe.
 */
final class ServerChoice {
  /** Failed share of recent requests above which a server is used only where others are full. */
  private static final double FAILING_SHARE = 0.3;

  /** Open requests above the mean at which a home passes prompts on. */
  private static final double HOME_BOUND = 2.0;

  private static final int HOME_ALLOWANCE = 4;

  /** Open requests that a server of another failure domain must have less to be preferred. */
  private static final double DOMAIN_PREFERENCE = 1.5;

  private final String failureDomain;
  private final SplittableRandom random;
  private long sequence;

  ServerChoice(String failureDomain, SplittableRandom random) {
    this.failureDomain = failureDomain;
    this.random = random;
  }

  /**
   * Returns the server to send to.
   *
   * @param servers servers that may begin the request
   * @param prompt prompt of the request, if it has one
   * @param scope scope in which cached parts may be shared
   */
  Optional<Server> choose(List<Server> servers, Optional<PromptOutline> prompt, String scope) {
    List<Server> open = servers.stream().filter(server -> hasPlace(server)).toList();
    List<Server> sound =
        open.stream().filter(server -> server.failureShare() < FAILING_SHARE).toList();
    List<Server> candidates = sound.isEmpty() ? open : sound;
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    return prompt
        .map(outline -> byPrefix(candidates, outline, scope))
        .orElseGet(() -> byLoad(candidates));
  }

  /** Returns whether the server may be given one more request by this router. */
  static boolean hasPlace(Server server) {
    return server.outstanding() < server.entry().slots();
  }

  private Optional<Server> byLoad(List<Server> candidates) {
    int offset = random.nextInt(candidates.size());
    List<Server> rotated = new ArrayList<>(candidates.subList(offset, candidates.size()));
    rotated.addAll(candidates.subList(0, offset));
    return rotated.stream().min(Comparator.comparingDouble(this::load));
  }

  private double load(Server server) {
    double distance = server.failureDomain().equals(failureDomain) ? 0 : DOMAIN_PREFERENCE;
    return server.outstanding() + distance;
  }

  private Optional<Server> byPrefix(List<Server> candidates, PromptOutline prompt, String scope) {
    PlacementQuery query =
        new PlacementQuery(
            candidates, levels(prompt, scope), level -> 1, sequence++, random.nextLong());
    PlacementPlan plan = PlacementStrategy.PREFIX_AFFINITY.plan(query);
    double mean = candidates.stream().mapToInt(Server::outstanding).average().orElse(0);
    double bound = HOME_ALLOWANCE + HOME_BOUND * mean;
    for (PlannedOffer offer : plan.offers()) {
      if (offer.candidate().outstanding() <= bound) {
        return serverOf(offer.candidate());
      }
    }
    return candidates.stream().min(Comparator.comparingInt(Server::outstanding));
  }

  private static Optional<Server> serverOf(PlacementCandidate candidate) {
    return candidate instanceof Server server ? Optional.of(server) : Optional.empty();
  }

  /** Returns the levels of sharing, deepest first: the whole prompt, all but its end, its start. */
  private static List<PrefixLevel> levels(PromptOutline prompt, String scope) {
    List<Part> parts = prompt.parts();
    long hash = RendezvousHash.hashOf(scope);
    List<PrefixLevel> levels = new ArrayList<>();
    for (int index = 0; index < parts.size(); index++) {
      hash = RendezvousHash.combine(hash, RendezvousHash.hashOf(parts.get(index).id()));
      int depth = index + 1;
      if (depth == parts.size()) {
        levels.add(0, new PrefixLevel(PrefixLevel.Kind.CONVERSATION, hash, depth));
      } else if (depth == parts.size() - 1) {
        levels.add(0, new PrefixLevel(PrefixLevel.Kind.TENANT, hash, depth));
      } else if (depth == 1) {
        levels.add(0, new PrefixLevel(PrefixLevel.Kind.RULEBOOK, hash, depth));
      }
    }
    return levels;
  }
}
