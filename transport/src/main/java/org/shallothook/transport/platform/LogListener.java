package org.shallothook.transport.platform;

import org.shallothook.state.log.LogPage;

/**
 * Takes answers of the platform's log.
 *
 * <p>Called on the loop of the client; must not block.
 */
public interface LogListener {

  /** Records were read. */
  void logRead(LogPage page);

  /** A read of the stream failed. */
  void logReadFailed(String stream);

  /** The append with the token got the offset. */
  void logAppended(long token, long offset);

  /**
   * The append with the token failed, or its answer was lost.
   *
   * @param mayHaveTakenEffect whether the record may be in the log all the same
   */
  void logAppendFailed(long token, boolean mayHaveTakenEffect);
}
