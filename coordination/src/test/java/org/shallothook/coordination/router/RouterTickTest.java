package org.shallothook.coordination.router;

import static com.google.common.truth.Truth.assertThat;
import static org.shallothook.coordination.router.RouterHarness.template;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A tick without changes does not copy the configuration's texts. Guards against allocation that
 * grows with the size of the templates on every tick.
 */
final class RouterTickTest {
  private static final int TICKS = 50;

  private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  @ParameterizedTest
  @ValueSource(ints = {200_000, 1_000_000})
  void ticksAllocateLessThanOneTemplate(int templateBytes) {
    RouterHarness harness = new RouterHarness(RouterOptions.builder());
    String text = "[tenant guild]\ntext = " + "x".repeat(templateBytes) + "\n";
    harness.publish(template("linen", RouterHarness.KEY, "3", text));
    harness.listInstances();
    advance(harness);

    long before = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
    advance(harness);
    long allocated = threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - before;

    assertThat(allocated).isLessThan(templateBytes);
  }

  private static void advance(RouterHarness harness) {
    harness.advance(TICKS * RouterCore.TICK_INTERVAL_MICROS);
  }
}
