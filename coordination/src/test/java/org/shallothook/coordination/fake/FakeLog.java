package org.shallothook.coordination.fake;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.log.LogRecord;

/**
 * In-memory fake of the platform's log in virtual time, with retention, outages, delays, lost
 * responses and late appends. Not thread-safe.
 */
public final class FakeLog {
  private static final int PAGE_RECORDS = 100;

  private final VirtualTime time;
  private final SplittableRandom random;
  private final Map<String, List<LogRecord>> streams = new HashMap<>();
  private final Map<String, Integer> appendsByStream = new HashMap<>();

  /** Age above which records are no longer returned, in microseconds. */
  public long retentionMicros = Long.MAX_VALUE;

  /** Time until which reads and appends fail without effect, in microseconds. */
  public long downUntilMicros;

  /** Probability that an append is stored but reported as failed. */
  public double lostAnswers;

  /** Probability that an append is reported as failed and stored 3 seconds later. */
  public double lateAppends;

  /** Mean delay of each message to or from the log, in microseconds. */
  public long delayMicros = 2_000;

  /** Time that the log takes for one append, in microseconds. Other appends are queued. */
  public long appendMicros;

  private long busyUntilMicros;

  public FakeLog(VirtualTime time, SplittableRandom random) {
    this.time = time;
    this.random = random;
  }

  /** Callback for an append that failed from the view of its caller. */
  public interface FailureCallback {
    void onFailed(boolean mayHaveTakenEffect);
  }

  public void append(
      String stream, String payload, LongConsumer onSuccess, FailureCallback onFailure) {
    busyUntilMicros = Math.max(busyUntilMicros, time.now()) + appendMicros;
    long wait = busyUntilMicros - time.now();
    time.schedule(wait + delay(), () -> onAppendArrived(stream, payload, onSuccess, onFailure));
  }

  public void read(String stream, long from, Consumer<LogPage> onSuccess, Runnable onFailure) {
    time.schedule(
        delay(),
        () -> {
          if (isDown()) {
            time.schedule(delay(), onFailure);
            return;
          }
          LogPage page = page(stream, from);
          time.schedule(delay(), () -> onSuccess.accept(page));
        });
  }

  public List<LogRecord> records(String stream) {
    return streams.computeIfAbsent(stream, name -> new ArrayList<>());
  }

  public int appends(String streamPrefix) {
    return appendsByStream.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(streamPrefix))
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  public boolean isDown() {
    return time.now() < downUntilMicros;
  }

  /** Stores an append, or fails it, when it reaches the log. */
  private void onAppendArrived(
      String stream, String payload, LongConsumer onSuccess, FailureCallback onFailure) {
    if (isDown()) {
      time.schedule(delay(), () -> onFailure.onFailed(false));
      return;
    }
    if (random.nextDouble() < lateAppends) {
      time.schedule(3_000_000, () -> store(stream, payload));
      time.schedule(delay(), () -> onFailure.onFailed(true));
      return;
    }
    long offset = store(stream, payload);
    if (random.nextDouble() < lostAnswers) {
      time.schedule(500_000, () -> onFailure.onFailed(true));
    } else {
      time.schedule(delay(), () -> onSuccess.accept(offset));
    }
  }

  private long store(String stream, String payload) {
    List<LogRecord> records = records(stream);
    appendsByStream.merge(stream, 1, Integer::sum);
    records.add(new LogRecord(records.size(), time.now(), payload));
    return records.size() - 1L;
  }

  private LogPage page(String stream, long from) {
    List<LogRecord> records = records(stream);
    int first = 0;
    while (first < records.size()
        && records.get(first).appendedAtMicros() < time.now() - retentionMicros) {
      first++;
    }
    int start = (int) Math.min(records.size(), Math.max(first, from));
    int end = Math.min(records.size(), start + PAGE_RECORDS);
    return new LogPage(stream, first, records.size(), records.subList(start, end));
  }

  private long delay() {
    return delayMicros / 2 + random.nextLong(delayMicros + 1);
  }
}
