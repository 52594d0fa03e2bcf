package org.shallothook.standins.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.shallothook.standins.fault.InjectedFaults;
import org.shallothook.standins.fault.RequestFault;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.log.LogRecord;

/**
 * Simulates the append-only log: streams with offsets, limited retention and an append rate limit.
 *
 * <pre>{@code
 * LogModel log = new LogModel(LogSettings.DEFAULT);
 * log.append("leases", "payload", nowMicros);
 * Optional<LogPage> page = log.read("leases", 0, 100, nowMicros);
 * }</pre>
 *
 * <p>Invariant: offsets of a stream are consecutive and never reused. Not thread-safe.
 */
public final class LogModel {
  private static final long SECOND_MICROS = 1_000_000;

  private final LogSettings settings;
  private final InjectedFaults disturbances = new InjectedFaults();
  private final Map<String, Stream> streams = new TreeMap<>();
  private long currentSecond;
  private int appendsInSecond;
  private long refusedOverRate;

  /** Creates an empty log. */
  public LogModel(LogSettings settings) {
    this.settings = settings;
  }

  /** Returns the injected faults. */
  public InjectedFaults disturbances() {
    return disturbances;
  }

  /** Appends a record unless an injected fault or the rate limit prevents it. */
  public AppendResult append(String stream, String payload, long nowMicros) {
    RequestFault fault = disturbances.faultOf(true, nowMicros);
    if (!fault.takesEffect()) {
      return new AppendResult(fault, OptionalLong.empty());
    }
    if (isOverRate(nowMicros)) {
      refusedOverRate++;
      return new AppendResult(RequestFault.REFUSED, OptionalLong.empty());
    }
    Stream target = streams.computeIfAbsent(stream, name -> new Stream());
    long offset = target.append(payload, nowMicros);
    target.trim(settings, nowMicros);
    return new AppendResult(fault, OptionalLong.of(offset));
  }

  /** Reads up to {@code maximum} records from an offset on; empty during an outage. */
  public Optional<LogPage> read(String stream, long fromOffset, int maximum, long nowMicros) {
    if (disturbances.faultOf(false, nowMicros) != RequestFault.SERVED) {
      return Optional.empty();
    }
    Stream source = streams.getOrDefault(stream, new Stream());
    source.trim(settings, nowMicros);
    return Optional.of(source.page(stream, fromOffset, maximum));
  }

  /** Returns the end offset of each stream, by stream name. */
  public Map<String, Long> endOffsets() {
    Map<String, Long> ends = new TreeMap<>();
    streams.forEach((name, stream) -> ends.put(name, stream.end));
    return ends;
  }

  /** Returns the payload of the last retained record of each stream, by stream name. */
  public Map<String, String> lastPayloads() {
    Map<String, String> payloads = new TreeMap<>();
    streams.forEach(
        (name, stream) -> {
          if (!stream.records.isEmpty()) {
            payloads.put(name, stream.records.getLast().payload());
          }
        });
    return payloads;
  }

  /** Returns the number of appends refused by the rate limit. */
  public long refusedOverRate() {
    return refusedOverRate;
  }

  private boolean isOverRate(long nowMicros) {
    long second = nowMicros / SECOND_MICROS;
    if (second != currentSecond) {
      currentSecond = second;
      appendsInSecond = 0;
    }
    appendsInSecond++;
    return appendsInSecond > settings.appendsPerSecond();
  }

  private static final class Stream {
    private final Deque<LogRecord> records = new ArrayDeque<>();
    private long end;

    long append(String payload, long nowMicros) {
      records.addLast(new LogRecord(end, nowMicros, payload));
      return end++;
    }

    void trim(LogSettings settings, long nowMicros) {
      long oldestMicros = nowMicros - settings.retentionMicros();
      while (!records.isEmpty()
          && (records.size() > settings.retainedRecords()
              || records.getFirst().appendedAtMicros() < oldestMicros)) {
        records.removeFirst();
      }
    }

    LogPage page(String name, long fromOffset, int maximum) {
      long first = records.isEmpty() ? end : records.getFirst().offset();
      List<LogRecord> found = new ArrayList<>();
      for (LogRecord record : records) {
        if (found.size() == maximum) {
          break;
        }
        if (record.offset() >= fromOffset) {
          found.add(record);
        }
      }
      return new LogPage(name, first, end, found);
    }
  }
}
