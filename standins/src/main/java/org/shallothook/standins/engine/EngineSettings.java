package org.shallothook.standins.engine;

/**
 * Settings of an engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param blockTokens tokens in a cached block
 * @param blockBytes prompt bytes in a cached block
 * @param prefillTokensPerSecond tokens prefilled per second
 * @param minimumDecodeMicros time of a decode step with one stream, in microseconds
 * @param maximumDecodeMicros time of a decode step with {@code maximumRunning} streams, in
 *     microseconds
 * @param maximumRunning maximum number of concurrent streams, queued ones included
 * @param cacheBlocks capacity of the prefix cache in blocks
 * @param publishDelayMicros delay before a cache change is published, in microseconds
 * @param loadLagMicros delay of the reported load, in microseconds
 * @param restartMicros time from a crash until the engine is up again with an empty cache, in
 *     microseconds
 * @param checksFencing whether orders with a stale fencing token are refused
 * @param minimumAnswerTokens minimum answer length in tokens for prompts that don't set one
 * @param maximumAnswerTokens maximum answer length in tokens for prompts that don't set one
 */
public record EngineSettings(
    int blockTokens,
    int blockBytes,
    long prefillTokensPerSecond,
    long minimumDecodeMicros,
    long maximumDecodeMicros,
    int maximumRunning,
    int cacheBlocks,
    long publishDelayMicros,
    long loadLagMicros,
    long restartMicros,
    boolean checksFencing,
    int minimumAnswerTokens,
    int maximumAnswerTokens) {
  /** Settings that match the engines in current use. */
  public static final EngineSettings DEFAULT =
      new EngineSettings(
          1_000, 4_000, 20_000, 20_000, 40_000, 16, 400, 200_000, 500_000, 1_000_000, true, 16, 64);

  private static final long SECOND_MICROS = 1_000_000;

  /** Returns a copy with another prefix cache capacity, in blocks. */
  public EngineSettings withCacheBlocks(int blocks) {
    return new EngineSettings(
        blockTokens,
        blockBytes,
        prefillTokensPerSecond,
        minimumDecodeMicros,
        maximumDecodeMicros,
        maximumRunning,
        blocks,
        publishDelayMicros,
        loadLagMicros,
        restartMicros,
        checksFencing,
        minimumAnswerTokens,
        maximumAnswerTokens);
  }

  /** Returns a copy that checks fencing tokens or ignores them. */
  public EngineSettings withChecksFencing(boolean checks) {
    return new EngineSettings(
        blockTokens,
        blockBytes,
        prefillTokensPerSecond,
        minimumDecodeMicros,
        maximumDecodeMicros,
        maximumRunning,
        cacheBlocks,
        publishDelayMicros,
        loadLagMicros,
        restartMicros,
        checks,
        minimumAnswerTokens,
        maximumAnswerTokens);
  }

  /** Returns a copy with another block size in bytes and the same number of tokens per block. */
  public EngineSettings withBlockBytes(int bytes) {
    return new EngineSettings(
        blockTokens,
        bytes,
        prefillTokensPerSecond,
        minimumDecodeMicros,
        maximumDecodeMicros,
        maximumRunning,
        cacheBlocks,
        publishDelayMicros,
        loadLagMicros,
        restartMicros,
        checksFencing,
        minimumAnswerTokens,
        maximumAnswerTokens);
  }

  /** Returns the number of tokens in a prompt, rounded up. */
  public long promptTokens(String prompt) {
    return ((long) prompt.length() * blockTokens + blockBytes - 1) / blockBytes;
  }

  /** Returns the time to prefill a number of tokens, in microseconds. */
  public long prefillMicros(long tokens) {
    return tokens * SECOND_MICROS / prefillTokensPerSecond;
  }

  /** Returns the time of a decode step with that many streams, in microseconds. */
  public long decodeMicros(int streams) {
    if (maximumRunning <= 1) {
      return minimumDecodeMicros;
    }
    long range = maximumDecodeMicros - minimumDecodeMicros;
    return minimumDecodeMicros + range * Math.max(0, streams - 1) / (maximumRunning - 1);
  }
}
