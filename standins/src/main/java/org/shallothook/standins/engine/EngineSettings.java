package org.shallothook.standins.engine;

/**
 * Settings of an engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param blockTokens tokens in a cached block
 * @param blockBytes bytes of a prompt in a cached block
 * @param prefillTokensPerSecond prompt tokens computed in a second
 * @param minimumDecodeMicros time between tokens of a lone stream, in microseconds
 * @param maximumDecodeMicros time between tokens of a full batch, in microseconds
 * @param maximumRunning streams that run at once
 * @param cacheBlocks blocks that the prefix cache holds
 * @param publishDelayMicros how late changes of the cache are published, in microseconds
 * @param loadLagMicros how late the reported load is, in microseconds
 * @param restartMicros time from a crash to the empty restart, in microseconds
 * @param checksFencing whether orders with an old fencing number are refused
 * @param minimumAnswerTokens least length of an answer whose prompt names none
 * @param maximumAnswerTokens greatest length of an answer whose prompt names none
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
  /** Settings of today's engines. */
  public static final EngineSettings DEFAULT =
      new EngineSettings(
          1_000, 4_000, 20_000, 20_000, 40_000, 16, 400, 200_000, 500_000, 1_000_000, true, 16, 64);

  private static final long SECOND_MICROS = 1_000_000;

  /** Returns the same settings with another room for cached blocks. */
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

  /** Returns the same settings with or without the check of fencing numbers. */
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

  /** Returns the same settings with blocks of another size in bytes, and as many tokens. */
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

  /** Returns the tokens of a prompt. */
  public long promptTokens(String prompt) {
    return ((long) prompt.length() * blockTokens + blockBytes - 1) / blockBytes;
  }

  /** Returns the time to compute prompt tokens, in microseconds. */
  public long prefillMicros(long tokens) {
    return tokens * SECOND_MICROS / prefillTokensPerSecond;
  }

  /** Returns the time between tokens while that many streams decode, in microseconds. */
  public long decodeMicros(int streams) {
    if (maximumRunning <= 1) {
      return minimumDecodeMicros;
    }
    long range = maximumDecodeMicros - minimumDecodeMicros;
    return minimumDecodeMicros + range * Math.max(0, streams - 1) / (maximumRunning - 1);
  }
}
