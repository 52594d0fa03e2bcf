package org.shallothook.standins.engine;

/**
 * Takes what an engine does while its time advances.
 *
 * <p>Called on the thread that advances the engine, in order of time.
 */
public interface EngineListener {

  /**
   * A stream has a token more.
   *
   * @param id identifier of the request
   * @param position tokens of the answer before it
   * @param text text of the token
   * @param atMicros time of the token
   */
  void token(String id, int position, String text, long atMicros);

  /**
   * A stream has its whole answer.
   *
   * @param id identifier of the request
   * @param position tokens in the whole answer
   * @param finishReason {@code stop} or {@code length}
   * @param cachedBlocks leading prompt blocks taken from the cache
   * @param atMicros time of the end
   */
  void ended(String id, int position, String finishReason, int cachedBlocks, long atMicros);

  /**
   * The engine has crashed while the stream ran.
   *
   * @param id identifier of the request
   * @param atMicros time of the crash
   */
  void lost(String id, long atMicros);

  /**
   * The prompt of a stream has been computed.
   *
   * @param id identifier of the request
   * @param cachedBlocks leading prompt blocks taken from the cache
   * @param atMicros time of the end
   */
  default void prefilled(String id, int cachedBlocks, long atMicros) {}
}
