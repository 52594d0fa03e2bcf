package org.shallothook.benchmarks.slopes;

import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.shallothook.coordination.placement.PlacementStrategy;
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
    description =
        "Measures state and processor time by number of servers, routers, teams and blocks.")
public final class SlopesCommand implements Callable<Integer> {
  private static final int[] SERVERS = {85, 170, 340, 680};
  private static final int[] ROUTERS = {48, 95, 190, 380};
  private static final int[] TEAMS = {60, 120, 245, 490};
  private static final int[] BLOCKS = {12_500, 25_000, 50_000, 100_000};
  private static final int PLANS = 20_000;
  private static final int RULEBOOK_CHARACTERS = 24_000;
  private static final int COLLECTIONS = 10;
  private static final long COLLECTION_PAUSE_MILLIS = 50;
  private static final long SEED = 7;

  @Spec private CommandSpec specification;

  @Override
  public Integer call() throws InterruptedException {
    print("warm-up: %.1f MB", retainedBytes(() -> configuration(TEAMS[0], true)) / 1e6);
    for (int servers : SERVERS) {
      print("placement, %d servers: %.1f us a decision", servers, planMicros(servers));
    }
    for (int teams : TEAMS) {
      print(
          "configuration, %d teams of 24 KB: router %.1f MB, sidecar %.1f MB",
          teams,
          retainedBytes(() -> configuration(teams, true)) / 1e6,
          retainedBytes(() -> configuration(teams, false)) / 1e6);
    }
    for (int servers : SERVERS) {
      printFleet(new FleetState(ROUTERS[ROUTERS.length - 1], servers));
    }
    for (int routers : ROUTERS) {
      printFleet(new FleetState(routers, SERVERS[SERVERS.length - 1]));
    }
    for (int blocks : BLOCKS) {
      print("prefix index, %d blocks: %.2f MB", blocks, index(blocks).tableBytes() / 1e6);
    }
    return 0;
  }

  private void printFleet(FleetState fleet) throws InterruptedException {
    print(
        "fleet of %d routers and %d servers: router %.3f MB, sidecar %.3f MB",
        fleet.routers(),
        fleet.servers(),
        retainedBytes(fleet::router) / 1e6,
        retainedBytes(fleet::sidecar) / 1e6);
  }

  private void print(String format, Object... values) {
    specification.commandLine().getOut().printf(Locale.ROOT, format + "%n", values);
    specification.commandLine().getOut().flush();
  }

  private static double planMicros(int servers) {
    PlacementQueries queries = new PlacementQueries(servers);
    long checksum = 0;
    long startNanos = 0;
    for (int plan = -PLANS; plan < PLANS; plan++) {
      if (plan == 0) {
        startNanos = System.nanoTime();
      }
      checksum += PlacementStrategy.PREFIX_AFFINITY.plan(queries.next()).offers().size();
    }
    long nanos = System.nanoTime() - startNanos;
    if (checksum == 0) {
      throw new IllegalStateException("No plan has an offer.");
    }
    return nanos / 1e3 / PLANS;
  }

  private static ConfigurationLog configuration(int teams, boolean holdsTexts) {
    ConfigurationLog log = new ConfigurationLog(holdsTexts);
    SplittableRandom random = new SplittableRandom(SEED);
    for (int team = 0; team < teams; team++) {
      String name = "team-" + team;
      ConfigurationRecord change =
          new ConfigurationRecord.Change(
              "change-" + team, team, name, Optional.of(template(name, team, random)));
      log.apply(0, List.of(new LogRecord(team, 0, ConfigurationRecordText.write(change))));
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

  private static long retainedBytes(Supplier<Object> state) throws InterruptedException {
    long before = usedBytes();
    Object held = state.get();
    try {
      return usedBytes() - before;
    } finally {
      Reference.reachabilityFence(held);
    }
  }

  /** Collects until nothing more is freed, since some objects are freed only after finalizers. */
  private static long usedBytes() throws InterruptedException {
    Runtime runtime = Runtime.getRuntime();
    long used = Long.MAX_VALUE;
    for (int round = 0; round < COLLECTIONS; round++) {
      runtime.gc();
      TimeUnit.MILLISECONDS.sleep(COLLECTION_PAUSE_MILLIS);
      used = Math.min(used, runtime.totalMemory() - runtime.freeMemory());
    }
    return used;
  }
}
