package org.shallothook.transport.forward;

import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.transport.decision.EventSink;

/** Event sink of a test, which is never congested. Implementations are thread-safe. */
interface OpenEventSink extends EventSink<CoreEvent> {
  @Override
  default boolean offer(CoreEvent event) {
    deliver(event);
    return true;
  }

  @Override
  default boolean isCongested() {
    return false;
  }
}
