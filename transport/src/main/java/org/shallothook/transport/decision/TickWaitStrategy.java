package org.shallothook.transport.decision;

import com.lmax.disruptor.AlertException;
import com.lmax.disruptor.Sequence;
import com.lmax.disruptor.SequenceBarrier;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.WaitStrategy;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Parks the decision thread until the next event or the next tick, whichever comes first.
 *
 * <p>The timeouts of the library's own strategies start anew with each event; to keep an interval
 * with them takes twice as many wake-ups.
 *
 * <p>Invariant: an idle thread wakes once in an interval. Thread-safe; {@link #ticked} is called on
 * the decision thread alone.
 */
final class TickWaitStrategy implements WaitStrategy {
  private final long intervalNanos;
  private final Lock lock = new ReentrantLock();
  private final Condition published = lock.newCondition();
  private long tickAtNanos = System.nanoTime();

  TickWaitStrategy(long intervalMicros) {
    intervalNanos = TimeUnit.MICROSECONDS.toNanos(intervalMicros);
  }

  /** Starts a new interval. */
  void ticked() {
    tickAtNanos = System.nanoTime() + intervalNanos;
  }

  @Override
  public long waitFor(
      long sequence, Sequence cursor, Sequence dependentSequence, SequenceBarrier barrier)
      throws AlertException, InterruptedException, TimeoutException {
    if (cursor.get() < sequence) {
      waitForCursor(sequence, cursor, barrier);
    }
    long available = dependentSequence.get();
    while (available < sequence) {
      barrier.checkAlert();
      Thread.onSpinWait();
      available = dependentSequence.get();
    }
    return available;
  }

  @Override
  public void signalAllWhenBlocking() {
    lock.lock();
    try {
      published.signalAll();
    } finally {
      lock.unlock();
    }
  }

  private void waitForCursor(long sequence, Sequence cursor, SequenceBarrier barrier)
      throws AlertException, InterruptedException, TimeoutException {
    lock.lock();
    try {
      while (cursor.get() < sequence) {
        barrier.checkAlert();
        long remainingNanos = tickAtNanos - System.nanoTime();
        if (remainingNanos <= 0) {
          throw TimeoutException.INSTANCE;
        }
        published.awaitNanos(remainingNanos);
      }
    } finally {
      lock.unlock();
    }
  }
}
