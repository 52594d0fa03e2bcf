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
import org.openjdk.jmh.infra.Blackhole;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.sidecar.SidecarCore;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarOptions;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.RequestId;

/**
 * Time of one event on a sidecar's decision thread: a tick, and an offer with its cancellation.
 *
 * <p>Not thread-safe: JMH gives each thread a state of its own.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(value = 1, jvmArgsAppend = "-Xmx256m")
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class SidecarEventBenchmark {
  private static final int CACHED_BLOCKS = 100_000;
  private static final int PROMPT_BLOCKS = 25;
  private static final long SEED = 3;
  private static final long START_MICROS = 1_000_000_000_000L;
  private static final String ENGINE = "e-1";
  private static final ModelVersion VERSION = ModelVersion.of("m", "1");

  /** Routers that are connected. */
  @Param({"10", "20", "40", "80"})
  public int routers;

  private final List<BlockKey> keys = new ArrayList<>();
  private SidecarCore core;
  private long nowMicros = START_MICROS;
  private long requests;

  /** Fills the index and connects the routers. */
  @Setup
  public void create(Blackhole commands) {
    core = new SidecarCore(SidecarOptions.builder("engine-1", 1).build(), commands::consume);
    SplittableRandom random = new SplittableRandom(SEED);
    for (int block = 0; block < CACHED_BLOCKS; block++) {
      keys.add(new BlockKey(random.nextLong(), random.nextLong()));
    }
    core.handle(
        new SidecarEvent.EngineStatus(ENGINE, List.of(VERSION), 0, 16, -1, false), nowMicros);
    core.handle(new SidecarEvent.CacheListed(ENGINE, 0, keys), nowMicros);
  }

  /** Lets a tick pass on an idle sidecar. */
  @Benchmark
  public void tick() {
    nowMicros += SidecarCore.TICK_INTERVAL_MICROS;
    core.handle(new SidecarEvent.Tick(), nowMicros);
  }

  /** Answers an offer of 25 blocks that are all cached, and takes its cancellation. */
  @Benchmark
  public void offerAndCancel() {
    nowMicros++;
    requests++;
    int first = (int) (requests * PROMPT_BLOCKS % (CACHED_BLOCKS - PROMPT_BLOCKS));
    List<BlockKey> chain =
        keys.subList(first, first + PROMPT_BLOCKS).stream().map(BlockKey::abbreviated).toList();
    AttemptId attempt = new AttemptId(new RequestId("r-" + requests), 1);
    receive(
        new PeerMessage.Offer(
            attempt,
            new CacheIdentity("team", VERSION),
            PriorityClass.ORDINARY,
            chain,
            100_000,
            400,
            nowMicros + 1_000_000,
            0,
            "fingerprint",
            false,
            0));
    receive(new PeerMessage.Cancel(attempt));
  }

  private void receive(PeerMessage message) {
    String router = "router-" + requests % routers;
    core.handle(
        new SidecarEvent.PeerMessageReceived(new Envelope(router, 1, 0, message)), nowMicros);
  }
}
