package org.shallothook.benchmarks.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.shallothook.coordination.placement.PlacementCandidate;
import org.shallothook.coordination.placement.PlacementQuery;
import org.shallothook.coordination.placement.PrefixLevel;
import org.shallothook.coordination.placement.RendezvousHash;

/**
 * Seeded questions for a place among idle servers in six failure domains.
 *
 * <p>Not thread-safe.
 */
public final class PlacementQueries {
  private static final int DOMAINS = 6;
  private static final int TENANTS = 64;
  private static final int RULEBOOKS = 16;
  private static final long SEED = 7;

  private final List<Server> servers = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(SEED);
  private int count;

  /** Creates questions for a place among that many servers. */
  public PlacementQueries(int count) {
    for (int server = 0; server < count; server++) {
      String name = "engine-" + server;
      servers.add(new Server(name, RendezvousHash.hashOf(name), "domain-" + server % DOMAINS));
    }
  }

  /** Returns the next question. */
  public PlacementQuery next() {
    count++;
    List<PrefixLevel> levels =
        List.of(
            new PrefixLevel(PrefixLevel.Kind.CONVERSATION, random.nextLong(), 12),
            new PrefixLevel(PrefixLevel.Kind.TENANT, count % TENANTS, 8),
            new PrefixLevel(PrefixLevel.Kind.RULEBOOK, count % RULEBOOKS, 6));
    return new PlacementQuery(servers, levels, level -> 2, count, random.nextLong());
  }

  /** An idle upstream. Immutable and thread-safe. */
  private record Server(String name, long hash, String failureDomain)
      implements PlacementCandidate {
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
