package org.shallothook.benchmarks.workload;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.shallothook.benchmarks.virtual.FleetBuilder;
import org.shallothook.benchmarks.virtual.Latencies;
import org.shallothook.benchmarks.virtual.TeamSpec;
import org.shallothook.benchmarks.virtual.VirtualFleet;
import org.shallothook.standins.engine.EngineSettings;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.PriorityClass;

/**
 * The two deployments at today's size: 8 engines, 8 teams of which a few are large, 3 routers.
 *
 * <p>The last team has bought priority and hardly ever calls.
 *
 * <p>Immutable and thread-safe.
 */
public enum Deployment {
  /** Long weekly registers, one of which is hot until the week changes. */
  ALTAR_LINEN {
    @Override
    Latencies latencies() {
      return Latencies.RO_CENTRAL;
    }

    @Override
    public List<String> domains() {
      return List.of("ro-central-a", "ro-central-b", "ro-central-c");
    }

    @Override
    int rulebookBlocks() {
      return 8;
    }

    @Override
    int tenantBlocks() {
      return 40;
    }

    @Override
    double burstShare() {
      return 0;
    }
  },

  /** A long rulebook, short tenants, and bursts of calls. */
  SPARDELNING {
    @Override
    Latencies latencies() {
      return Latencies.MELLANSVERIGE;
    }

    @Override
    public List<String> domains() {
      return List.of("mellansverige-a", "mellansverige-b", "mellansverige-c", "mellansverige-d");
    }

    @Override
    int rulebookBlocks() {
      return 24;
    }

    @Override
    int tenantBlocks() {
      return 4;
    }

    @Override
    double burstShare() {
      return 0.3;
    }
  };

  /** Tenant that callers use at first. */
  public static final String CURRENT = "current";

  /** Tenant that callers use after the hot prefix has shifted. */
  public static final String NEXT = "next";

  /** Model of every team. */
  public static final ModelVersion MODEL = ModelVersion.of("assistant", "v1");

  /** Name of the team that has bought priority. */
  public static final String PRIORITY_TEAM = "team-8";

  /** Bytes in a block: small, so that long prompts are cheap to run. */
  static final int BLOCK_BYTES = 1_000;

  /** Settings of every engine; the teams' shared openings do not fit into one engine's cache. */
  public static final EngineSettings ENGINES =
      EngineSettings.DEFAULT.withCacheBlocks(200).withBlockBytes(BLOCK_BYTES);

  private static final int TEAMS = 8;
  private static final long TEXT_SEED = 11;

  abstract Latencies latencies();

  /** Returns the failure domains. */
  public abstract List<String> domains();

  abstract int rulebookBlocks();

  abstract int tenantBlocks();

  /** Returns the share of requests that come in bursts. */
  abstract double burstShare();

  /** Returns a builder of a fleet in the deployment's places, without teams. */
  public FleetBuilder places(long seed) {
    return VirtualFleet.builder().seed(seed).latencies(latencies()).domains(domains());
  }

  /** Returns a builder of the deployment's fleet. */
  public FleetBuilder fleet(long seed) {
    FleetBuilder builder = places(seed).engineSettings(ENGINES);
    teams().forEach(builder::team);
    return builder;
  }

  /** Returns the teams, the largest first. */
  public List<TeamSpec> teams() {
    TextSource texts = new TextSource(new SplittableRandom(TEXT_SEED + name().hashCode()));
    List<TeamSpec> teams = new ArrayList<>();
    for (int team = 1; team <= TEAMS; team++) {
      String name = "team-" + team;
      Map<String, String> tenants = new LinkedHashMap<>();
      List.of(CURRENT, NEXT)
          .forEach(tenant -> tenants.put(tenant, texts.text(tenantBlocks() * BLOCK_BYTES)));
      PriorityClass priority =
          name.equals(PRIORITY_TEAM) ? PriorityClass.PRIORITY : PriorityClass.ORDINARY;
      String rulebook = texts.text(rulebookBlocks() * BLOCK_BYTES);
      teams.add(new TeamSpec(name, MODEL, priority, rulebook, tenants, "", false));
    }
    return teams;
  }
}
