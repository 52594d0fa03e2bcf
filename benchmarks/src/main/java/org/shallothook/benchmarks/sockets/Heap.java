package org.shallothook.benchmarks.sockets;

import io.netty.util.internal.PlatformDependent;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;

/** Memory in use by this process. Stateless and thread-safe. */
final class Heap {
  private static final int COLLECTIONS = 3;

  private Heap() {}

  /** Returns the bytes of live objects and of buffers outside the heap, after collections. */
  static long usedBytes() {
    for (int round = 0; round < COLLECTIONS; round++) {
      ManagementFactory.getMemoryMXBean().gc();
    }
    long used = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    for (BufferPoolMXBean pool : ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class)) {
      used += pool.getMemoryUsed();
    }
    return used + Math.max(0, PlatformDependent.usedDirectMemory());
  }
}
