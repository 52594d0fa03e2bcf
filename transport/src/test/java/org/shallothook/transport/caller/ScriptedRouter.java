package org.shallothook.transport.caller;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.transport.decision.EventSink;

/** Queues the events of callers for a test, in place of the router's core. Thread-safe. */
final class ScriptedRouter implements EventSink<RouterEvent> {
  private final BlockingQueue<RouterEvent> requests = new LinkedBlockingQueue<>();
  private final BlockingQueue<RouterEvent> delivered = new LinkedBlockingQueue<>();
  private volatile boolean isFull;

  void setFull(boolean full) {
    isFull = full;
  }

  @Override
  public boolean offer(RouterEvent event) {
    return !isFull && requests.add(event);
  }

  @Override
  public void deliver(RouterEvent event) {
    delivered.add(event);
  }

  @Override
  public boolean isCongested() {
    return false;
  }

  RouterEvent nextRequest() throws InterruptedException {
    return requests.poll(20, TimeUnit.SECONDS);
  }

  RouterEvent nextDelivered() throws InterruptedException {
    return delivered.poll(20, TimeUnit.SECONDS);
  }
}
