package org.shallothook.standins.engine;

/**
 * Receives the events of an engine while its virtual time advances.
 *
 * <p>Methods are called on the thread that advances the engine, in order of event time.
 */
public interface EngineListener {

  /**
   * Called when a stream generates a token.
   *
   * @param id identifier of the request
   * @param position number of answer tokens before this one
   * @param text text of the token
   * @param atMicros time of the token, in microseconds
   */
  void token(String id, int position, String text, long atMicros);

  /**
   * Called when a stream completes its answer.
   *
   * @param id identifier of the request
   * @param position number of tokens in the whole answer
   * @param finishReason {@code stop} or {@code length}
   * @param cachedBlocks number of leading prompt blocks found in the prefix cache
   * @param atMicros time of the event, in microseconds
   */
  void ended(String id, int position, String finishReason, int cachedBlocks, long atMicros);

  /**
   * Called when the engine crashes while the stream is running.
   *
   * @param id identifier of the request
   * @param atMicros time of the crash, in microseconds
   */
  void lost(String id, long atMicros);

  /**
   * Called when the prefill of a stream's prompt is complete.
   *
   * @param id identifier of the request
   * @param cachedBlocks number of leading prompt blocks found in the prefix cache
   * @param atMicros time of the event, in microseconds
   */
  default void prefilled(String id, int cachedBlocks, long atMicros) {}
}
