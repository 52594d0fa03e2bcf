package org.shallothook.benchmarks.micro;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
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
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.PrefixIndex;

/**
 * Time and memory of the prefix index: look-up of a 64-block chain, and one change of the cache.
 *
 * <p>Chains are taken in turn from all blocks held, so that the table is read all over. Not
 * thread-safe: JMH gives each thread a state of its own.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(value = 1, jvmArgsAppend = "-Xmx512m")
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class PrefixIndexBenchmark {
  private static final int CHAIN_BLOCKS = 64;
  private static final long SEED = 4;
  private static final String INCARNATION = "e-1";

  /** Blocks held. */
  @Param({"1000", "10000", "50000", "100000"})
  public int blocks;

  private PrefixIndex index;
  private List<List<BlockKey>> chains;
  private List<BlockKey> keys;
  private int nextChain;
  private int nextKey;
  private boolean isStoring;

  /** Fills an index. */
  @Setup
  public void fill() {
    SplittableRandom random = new SplittableRandom(SEED);
    keys = new ArrayList<>();
    for (int block = 0; block < blocks; block++) {
      keys.add(new BlockKey(random.nextLong(), random.nextLong()));
    }
    index = new PrefixIndex(blocks);
    index.follow(INCARNATION);
    index.replace(INCARNATION, 0, keys);
    chains = new ArrayList<>();
    for (int first = 0; first + CHAIN_BLOCKS <= blocks; first += CHAIN_BLOCKS) {
      chains.add(List.copyOf(keys.subList(first, first + CHAIN_BLOCKS)));
    }
    System.out.println("table bytes: " + index.tableBytes());
  }

  /** Looks up a chain of 64 blocks that is held whole. */
  @Benchmark
  public int lookUpChain() {
    nextChain = nextChain + 1 < chains.size() ? nextChain + 1 : 0;
    return index.matchedBlocks(chains.get(nextChain));
  }

  /** Takes one change: the eviction of a block, or its storing again. */
  @Benchmark
  public PrefixIndex.ChangeResult applyChange() {
    BlockKey key = keys.get(nextKey);
    PrefixIndex.ChangeResult applied =
        index.apply(INCARNATION, index.nextSequence(), key, isStoring);
    if (isStoring) {
      nextKey = nextKey + 1 < keys.size() ? nextKey + 1 : 0;
    }
    isStoring = !isStoring;
    return applied;
  }
}
