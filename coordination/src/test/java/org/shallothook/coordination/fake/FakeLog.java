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
 * The platform's log in memory and virtual time, with retention, outages, delays and lost answers.
 * Not thread-safe.
 */
public final class FakeLog {
  private static final int PAGE_RECORDS = 100;

  private final VirtualTime time;
  private final SplittableRandom random;
  private final Map<String, List<LogRecord>> streams = new HashMap<>();
  private final Map<String, Integer> appendsByStream = new HashMap<>();
  public long retentionMicros = Long.MAX_VALUE;
  public long downUntilMicros;
  public double lostAnswers;
  public double lateAppends;
  public long delayMicros = 2_000;

  /** Time that the log spends on one append; others wait meanwhile. */
  public long appendMicros;

  private long busyUntilMicros;

  public FakeLog(VirtualTime time, SplittableRandom random) {
    this.time = time;
    this.random = random;
  }

  /** Ways in which an append ends for its caller. */
  public interface AppendAnswer {
    void failed(boolean mayHaveTakenEffect);
  }

  public void append(String stream, String payload, LongConsumer answered, AppendAnswer failed) {
    busyUntilMicros = Math.max(busyUntilMicros, time.now()) + appendMicros;
    long wait = busyUntilMicros - time.now();
    time.after(wait + delay(), () -> arrive(stream, payload, answered, failed));
  }

  public void read(String stream, long from, Consumer<LogPage> answered, Runnable failed) {
    time.after(
        delay(),
        () -> {
          if (isDown()) {
            time.after(delay(), failed);
            return;
          }
          LogPage page = page(stream, from);
          time.after(delay(), () -> answered.accept(page));
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

  private void arrive(String stream, String payload, LongConsumer answered, AppendAnswer failed) {
    if (isDown()) {
      time.after(delay(), () -> failed.failed(false));
      return;
    }
    if (random.nextDouble() < lateAppends) {
      time.after(3_000_000, () -> store(stream, payload));
      time.after(delay(), () -> failed.failed(true));
      return;
    }
    long offset = store(stream, payload);
    if (random.nextDouble() < lostAnswers) {
      time.after(500_000, () -> failed.failed(true));
    } else {
      time.after(delay(), () -> answered.accept(offset));
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
