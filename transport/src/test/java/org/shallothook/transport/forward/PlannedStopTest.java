package org.shallothook.transport.forward;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.shallothook.coordination.forward.ForwardCommand;
import org.shallothook.coordination.forward.ForwardEvent;
import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.process.Clock;

/** Load pattern: callers continue to use their connections while the process is draining. */
final class PlannedStopTest implements OpenEventSink {
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final Duration DRAIN_PERIOD = Duration.ofMillis(1_500);
  private static final long DRAIN_MICROS = TimeUnit.NANOSECONDS.toMicros(DRAIN_PERIOD.toNanos());
  private static final String BUSY = "busy";

  private final EventLoops loops = EventLoops.create(1);
  private final CountDownLatch loopIsBlocked = new CountDownLatch(1);
  private final CountDownLatch loopMayContinue = new CountDownLatch(1);
  private final ForwardTransport transport =
      new ForwardTransport(
          loops.internal(),
          new PlainRequestForm(),
          ForwardSettings.DEFAULT,
          this,
          Counters.NONE,
          DecisionJournal.NONE,
          Clock::steadyMicros);
  private final InetSocketAddress address =
      transport.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).get();

  @AfterEach
  void close() {
    loops.close();
  }

  @Override
  public void deliver(CoreEvent event) {
    if (event instanceof ForwardEvent.Requested requested) {
      if (requested.head().id().equals(BUSY)) {
        blockLoop();
      }
      Refusal refusal =
          Refusal.notRun(RefusalReason.ROUTER_LEAVING, "The router is being stopped.");
      transport.carryOut(new ForwardCommand.Refuse(requested.request(), refusal));
    }
  }

  /**
   * Guards against dropping a request that is already in the socket buffer when idle connections
   * are closed at the end of the drain period.
   */
  @Test
  void aRequestThatArrivesAsUnusedConnectionsAreClosedIsAnswered() throws Exception {
    try (PlainCaller kept = new PlainCaller(address);
        PlainCaller busy = new PlainCaller(address)) {
      kept.send("first");
      assertThat(kept.readStatus()).isEqualTo("HTTP/1.1 503");

      long drainPeriodEndNanos = System.nanoTime() + DRAIN_PERIOD.toNanos();
      transport.drain(Clock.steadyMicros() + DRAIN_MICROS, () -> {});
      loops.internal().submit(() -> {}).sync();
      busy.send(BUSY);
      assertThat(loopIsBlocked.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
      kept.send("second");
      TimeUnit.NANOSECONDS.sleep(
          drainPeriodEndNanos - System.nanoTime() + DRAIN_PERIOD.toNanos() / 10);
      loopMayContinue.countDown();

      assertThat(kept.readStatus()).isEqualTo("HTTP/1.1 503");
    }
  }

  private void blockLoop() {
    loopIsBlocked.countDown();
    try {
      assertThat(loopMayContinue.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
