package org.shallothook.benchmarks.load;

/** A way of sending chats. Implementations are thread-safe. */
interface Arm extends AutoCloseable {

  /** Sends a chat and returns at once; the trial hears of its first token and its end. */
  void send(LoadPrompt prompt, int number, Reply reply);

  @Override
  void close();

  /** Takes what becomes of one chat. Called on any thread, once for each method at most. */
  interface Reply {
    /** The first token is there. */
    void firstToken();

    /** The answer is complete, or has failed. */
    void ended(boolean isComplete);
  }
}
