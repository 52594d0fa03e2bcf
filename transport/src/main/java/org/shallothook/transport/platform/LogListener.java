package org.shallothook.transport.platform;

import org.shallothook.state.log.LogPage;

/**
 * Receives the results of reads and appends of the platform's log.
 *
 * <p>Called on the client's event loop; must not block.
 */
public interface LogListener {

  /** Records were read. */
  void logRead(LogPage page);

  /** A read of the stream failed. */
  void logReadFailed(String stream);

  /** The record of the append with the token is stored at the offset. */
  void logAppended(long token, long offset);

  /**
   * The append with the token failed, or its outcome is unknown.
   *
   * @param mayHaveTakenEffect whether the record may have been stored nevertheless
   */
  void logAppendFailed(long token, boolean mayHaveTakenEffect);
}
