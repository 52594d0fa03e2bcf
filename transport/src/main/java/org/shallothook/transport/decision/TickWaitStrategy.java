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
 * <p>The timeouts of the Disruptor's own wait strategies restart with each event; ticking at a
 * fixed interval with them takes twice as many wake-ups.
 *
 * <p>Invariant: an idle thread wakes up once per interval. Thread-safe; {@link #restartInterval}
 * must be called on the decision thread only.
 */
final class TickWaitStrategy implements WaitStrategy {
  private final long intervalNanos;
  private final Lock lock = new ReentrantLock();
  private final Condition published = lock.newCondition();
  private long nextTickNanos = System.nanoTime();

  TickWaitStrategy(long intervalMicros) {
    intervalNanos = TimeUnit.MICROSECONDS.toNanos(intervalMicros);
  }

  /** Starts a new interval, at the end of which the wait times out. */
  void restartInterval() {
    nextTickNanos = System.nanoTime() + intervalNanos;
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
        long remainingNanos = nextTickNanos - System.nanoTime();
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
