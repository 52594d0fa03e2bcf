package org.shallothook.benchmarks.micro;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.shallothook.benchmarks.slopes.PlacementQueries;
import org.shallothook.coordination.placement.PlacementPlan;
import org.shallothook.coordination.placement.PlacementStrategy;

/**
 * Time of one placement decision, by number of servers.
 *
 * <p>Not thread-safe: JMH gives each thread a state of its own.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(value = 1, jvmArgsAppend = "-Xmx256m")
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class PlacementBenchmark {
  /** Servers to choose from. */
  @Param({"85", "170", "340", "680"})
  public int servers;

  private PlacementQueries queries;

  /** Creates the servers. */
  @Setup
  public void create() {
    queries = new PlacementQueries(servers);
  }

  /** Plans the offers of one request. */
  @Benchmark
  public PlacementPlan plan() {
    return PlacementStrategy.PREFIX_AFFINITY.plan(queries.next());
  }
}
