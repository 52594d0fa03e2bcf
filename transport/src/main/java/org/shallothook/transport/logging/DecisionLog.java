package org.shallothook.transport.logging;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.Decision;
import org.shallothook.coordination.port.DecisionJournal;

/**
 * Writes decisions as lines of JSON, one object a line, from a thread of its own.
 *
 * <p>Invariant: holds a bounded number of lines. Where they come faster than they can be written,
 * routine ones are dropped first; the next line written says how many. Thread-safe; {@link #write}
 * never blocks.
 */
public final class DecisionLog implements DecisionJournal, AutoCloseable {
  /** Lines that may wait; a few seconds of a busy router. */
  private static final int CAPACITY = 4_096;

  /** Part of the capacity, in lines, that is kept for lines that matter more. */
  private static final int RESERVED = 1_024;

  /** Time for which lines are gathered into one write, in milliseconds. */
  private static final long GATHER_MILLIS = 100;

  private static final int LARGEST_WRITE_BYTES = 65_536;
  private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();

  private final OutputStream output;
  private final Counters counters;
  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY);
  private final AtomicLong dropped = new AtomicLong();
  private final Thread writer = new Thread(this::writeLines, "decision-log");
  private volatile boolean isClosed;

  /**
   * Creates a log that does not write yet.
   *
   * @param output where lines go
   * @param counters counts dropped lines
   */
  public DecisionLog(OutputStream output, Counters counters) {
    this.output = output;
    this.counters = counters;
    writer.setDaemon(true);
  }

  /** Starts to write. Called once. */
  public void start() {
    writer.start();
  }

  @Override
  public void write(Decision decision, String subject, Object... fields) {
    boolean isRoutine = decision.weight() == Decision.Weight.ROUTINE;
    boolean hasRoom = !isRoutine || lines.remainingCapacity() > RESERVED;
    if (!hasRoom || !lines.offer(line(decision, subject, fields))) {
      dropped.incrementAndGet();
      counters.increment("log.dropped");
    }
  }

  /** Writes what waits and ends the thread. */
  @Override
  public void close() throws InterruptedException {
    isClosed = true;
    writer.interrupt();
    writer.join(TimeUnit.SECONDS.toMillis(1));
  }

  private static String line(Decision decision, String subject, Object... fields) {
    StringBuilder line = new StringBuilder(160);
    line.append("{\"time\":\"").append(Instant.now()).append("\",\"decision\":\"");
    line.append(decision.code()).append("\",\"id\":").append(GSON.toJson(subject));
    for (int index = 0; index + 1 < fields.length; index += 2) {
      line.append(",\"").append(fields[index]).append("\":");
      append(line, fields[index + 1]);
    }
    return line.append("}\n").toString();
  }

  private static void append(StringBuilder line, Object value) {
    if (value instanceof Number || value instanceof Boolean) {
      line.append(value);
    } else {
      line.append(GSON.toJson(String.valueOf(value)));
    }
  }

  private void writeLines() {
    StringBuilder gathered = new StringBuilder();
    try {
      while (!isClosed || !lines.isEmpty()) {
        Optional<String> first = takeFirst();
        awaitMore();
        gather(first, gathered);
        output.write(gathered.toString().getBytes(StandardCharsets.UTF_8));
        output.flush();
      }
    } catch (IOException e) {
      // Nobody reads the log any more; lines are dropped and counted from here on.
      counters.increment("log.write-failed");
    }
  }

  /** Waits for a line; returns none where the log is closed first. */
  private Optional<String> takeFirst() {
    try {
      return isClosed ? Optional.empty() : Optional.of(lines.take());
    } catch (InterruptedException e) {
      // Only close() interrupts; what waits is then written without further waiting.
      return Optional.empty();
    }
  }

  /** Gives the lines that follow a first one a little time, unless the log is closed. */
  private void awaitMore() {
    try {
      if (!isClosed) {
        TimeUnit.MILLISECONDS.sleep(GATHER_MILLIS);
      }
    } catch (InterruptedException e) {
      // As above.
      return;
    }
  }

  private void gather(Optional<String> first, StringBuilder gathered) {
    gathered.setLength(0);
    long lost = dropped.getAndSet(0);
    if (lost > 0) {
      gathered.append("{\"decision\":\"process\",\"id\":\"log\",\"dropped\":").append(lost);
      gathered.append("}\n");
    }
    String line = first.orElseGet(lines::poll);
    while (line != null) {
      gathered.append(line);
      line = gathered.length() < LARGEST_WRITE_BYTES ? lines.poll() : null;
    }
  }
}
