package org.shallothook.benchmarks.slopes;

import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.function.Supplier;
import org.shallothook.coordination.placement.PlacementCandidate;
import org.shallothook.coordination.placement.PlacementQuery;
import org.shallothook.coordination.placement.PlacementStrategy;
import org.shallothook.coordination.placement.PrefixLevel;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.PrefixIndex;
import org.shallothook.state.configuration.ConfigurationLog;
import org.shallothook.state.configuration.ConfigurationRecord;
import org.shallothook.state.configuration.ConfigurationRecordText;
import org.shallothook.state.log.LogRecord;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * The verb {@code slopes}: measures how state and processor time grow with the fleet.
 *
 * <p>Not thread-safe: used on the thread of the command line.
 */
@Command(
    name = "slopes",
    mixinStandardHelpOptions = true,
    description = "Measures state and processor time by number of servers, teams and blocks.")
public final class SlopesCommand implements Callable<Integer> {
  private static final int[] SERVERS = {85, 170, 340, 680};
  private static final int[] TEAMS = {60, 120, 245, 490};
  private static final int[] BLOCKS = {12_500, 25_000, 50_000, 100_000};
  private static final int PLANS = 20_000;
  private static final int RULEBOOK_CHARACTERS = 24_000;
  private static final int COLLECTIONS = 3;
  private static final long SEED = 7;

  @Spec private CommandSpec specification;

  @Override
  public Integer call() {
    print("warm-up: %.1f MB", retainedBytes(() -> configuration(TEAMS[0])) / 1e6);
    for (int servers : SERVERS) {
      print("placement, %d servers: %.1f us a decision", servers, planMicros(servers));
    }
    for (int teams : TEAMS) {
      double megabytes = retainedBytes(() -> configuration(teams)) / 1e6;
      print("configuration, %d teams of 24 KB: %.1f MB", teams, megabytes);
    }
    for (int blocks : BLOCKS) {
      print("prefix index, %d blocks: %.2f MB", blocks, index(blocks).tableBytes() / 1e6);
    }
    return 0;
  }

  private void print(String format, Object... values) {
    specification.commandLine().getOut().printf(Locale.ROOT, format + "%n", values);
    specification.commandLine().getOut().flush();
  }

  private static double planMicros(int servers) {
    List<Server> candidates = new ArrayList<>();
    for (int server = 0; server < servers; server++) {
      String name = "engine-" + server;
      candidates.add(new Server(name, RendezvousHash.hashOf(name), "domain-" + server % 6));
    }
    long checksum = 0;
    SplittableRandom random = new SplittableRandom(SEED);
    long startNanos = 0;
    for (int plan = -PLANS; plan < PLANS; plan++) {
      if (plan == 0) {
        startNanos = System.nanoTime();
      }
      List<PrefixLevel> levels =
          List.of(
              new PrefixLevel(PrefixLevel.Kind.CONVERSATION, random.nextLong(), 12),
              new PrefixLevel(PrefixLevel.Kind.TENANT, plan % 64, 8),
              new PrefixLevel(PrefixLevel.Kind.RULEBOOK, plan % 16, 6));
      PlacementQuery query =
          new PlacementQuery(candidates, levels, level -> 2, plan, random.nextLong());
      checksum += PlacementStrategy.PREFIX_AFFINITY.plan(query).offers().size();
    }
    long nanos = System.nanoTime() - startNanos;
    if (checksum == 0) {
      throw new IllegalStateException("No plan has an offer.");
    }
    return nanos / 1e3 / PLANS;
  }

  private static ConfigurationLog configuration(int teams) {
    ConfigurationLog log = new ConfigurationLog();
    SplittableRandom random = new SplittableRandom(SEED);
    for (int team = 0; team < teams; team++) {
      String name = "team-" + team;
      ConfigurationRecord change =
          new ConfigurationRecord.Change(
              "change-" + team, team, name, Optional.of(template(name, team, random)));
      log.take(0, List.of(new LogRecord(team, 0, ConfigurationRecordText.write(change))));
    }
    return log;
  }

  private static String template(String name, int team, SplittableRandom random) {
    StringBuilder text = new StringBuilder(RULEBOOK_CHARACTERS);
    while (text.length() < RULEBOOK_CHARACTERS) {
      text.append(Long.toString(random.nextLong(Long.MAX_VALUE), Character.MAX_RADIX)).append(' ');
    }
    return String.format(
        Locale.ROOT,
        "[team]%nname = %s%nkey-sha256 = %064x%nmodel = m%nversion = 1%n[rulebook]%ntext = %s%n",
        name,
        team + 1,
        text);
  }

  private static PrefixIndex index(int blocks) {
    PrefixIndex index = new PrefixIndex(blocks);
    index.follow("engine-1");
    SplittableRandom random = new SplittableRandom(SEED);
    List<BlockKey> keys = new ArrayList<>();
    for (int block = 0; block < blocks; block++) {
      keys.add(new BlockKey(random.nextLong(), random.nextLong()));
    }
    index.replace("engine-1", 0, keys);
    return index;
  }

  private static long retainedBytes(Supplier<Object> state) {
    long before = usedBytes();
    Object held = state.get();
    try {
      return usedBytes() - before;
    } finally {
      Reference.reachabilityFence(held);
    }
  }

  private static long usedBytes() {
    Runtime runtime = Runtime.getRuntime();
    for (int round = 0; round < COLLECTIONS; round++) {
      runtime.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
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
