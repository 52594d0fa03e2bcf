package org.shallothook.benchmarks.demo;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * What the stand-ins beneath the sidecars counted.
 *
 * <p>Immutable and thread-safe.
 *
 * @param prefilledTokens prompt tokens that engines computed
 * @param cachedTokens prompt tokens that engines took from their caches
 * @param recomputedTokens prompt tokens computed in blocks that some engine had computed before
 * @param executions runs of each booking by key
 */
record UpstreamCounters(
    long prefilledTokens,
    long cachedTokens,
    long recomputedTokens,
    Map<String, Integer> executions) {
  private static final long BLOCK_TOKENS = 1_000;

  UpstreamCounters {
    executions = Map.copyOf(executions);
  }

  static UpstreamCounters read(ChatClient client, ExampleDeployment deployment)
      throws IOException, InterruptedException {
    long prefilled = 0;
    long cached = 0;
    Map<String, Integer> computedBlocks = new HashMap<>();
    Map<String, Integer> executions = new HashMap<>();
    for (ExampleDeployment.Upstream upstream : deployment.upstreams()) {
      String body = client.get(upstream.control(), "/control/state");
      JsonObject state = JsonParser.parseString(body).getAsJsonObject();
      if (upstream.role().equals("model-engine")) {
        prefilled += state.get("prefilled_tokens").getAsLong();
        cached += state.get("cached_tokens").getAsLong();
        addAll(computedBlocks, state.getAsJsonObject("computed_blocks"));
      } else if (upstream.role().equals("service")) {
        addAll(executions, state.getAsJsonObject("executions"));
      }
    }
    long recomputed =
        computedBlocks.values().stream().mapToLong(times -> times - 1L).sum() * BLOCK_TOKENS;
    return new UpstreamCounters(prefilled, cached, recomputed, executions);
  }

  private static void addAll(Map<String, Integer> sums, JsonObject counts) {
    for (Map.Entry<String, JsonElement> count : counts.entrySet()) {
      sums.merge(count.getKey(), count.getValue().getAsInt(), Integer::sum);
    }
  }

  /** Returns the share of prompt tokens that came from a cache. */
  double hitRate() {
    return share(cachedTokens);
  }

  /** Returns the share of prompt tokens that were computed again. */
  double recomputedShare() {
    return share(recomputedTokens);
  }

  /** Returns the number of bookings that ran once. */
  long runOnce() {
    return executions.values().stream().filter(times -> times == 1).count();
  }

  /** Returns the number of bookings that ran more than once. */
  long runAgain() {
    return executions.values().stream().filter(times -> times > 1).count();
  }

  private double share(long tokens) {
    return (double) tokens / Math.max(1, prefilledTokens + cachedTokens);
  }
}
