package org.shallothook.coordination.registry;

import java.util.List;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.state.log.KeyedRecord;

/** Takes what the registry part of a process has learnt. Called on the decision thread. */
public interface RegistryListener {

  /**
   * Records of a stream have changed.
   *
   * @param isFirstWhole whether with them every key of the stream is known for the first time
   */
  void changed(
      RegistryStream stream, List<KeyedRecord> changes, boolean isFirstWhole, long nowMicros);

  /** The store can or cannot be read. */
  void reachable(boolean isReachable, long nowMicros);

  /** A peer has sent a message that is not about the registry. */
  void received(Envelope envelope, long nowMicros);
}
