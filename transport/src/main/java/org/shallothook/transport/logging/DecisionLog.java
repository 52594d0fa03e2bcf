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
 * Writes decisions as JSON, one object per line, on a background thread.
 *
 * <p>Invariant: the queue is bounded. If lines arrive faster than they are written, lines of
 * routine decisions are dropped first, and the next write starts with a line that gives the number
 * of dropped lines. Thread-safe; {@link #write} never blocks.
 */
public final class DecisionLog implements DecisionJournal, AutoCloseable {
  /** Capacity of the queue; a few seconds of a busy router. */
  private static final int CAPACITY_LINES = 4_096;

  /** Part of the capacity that is reserved for decisions that are not routine. */
  private static final int RESERVED_LINES = 1_024;

  /** Time during which lines are collected into one write. */
  private static final long BATCH_MILLIS = 100;

  private static final int MAXIMUM_WRITE_BYTES = 65_536;
  private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();

  private final OutputStream output;
  private final Counters counters;
  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(CAPACITY_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final Thread writer = new Thread(this::writeLines, "decision-log");
  private volatile boolean isClosed;

  /**
   * Creates a log that is not started yet.
   *
   * @param output stream that the lines are written to
   * @param counters counts dropped lines
   */
  public DecisionLog(OutputStream output, Counters counters) {
    this.output = output;
    this.counters = counters;
    writer.setDaemon(true);
  }

  /** Starts the writer thread. Must be called once. */
  public void start() {
    writer.start();
  }

  @Override
  public void write(Decision decision, String subject, Object... fields) {
    boolean isRoutine = decision.weight() == Decision.Weight.ROUTINE;
    boolean hasRoom = !isRoutine || queue.remainingCapacity() > RESERVED_LINES;
    if (!hasRoom || !queue.offer(line(decision, subject, fields))) {
      dropped.incrementAndGet();
      counters.increment("log.dropped");
    }
  }

  /** Writes the queued lines and stops the writer thread; waits for it for up to one second. */
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
      appendValue(line, fields[index + 1]);
    }
    return line.append("}\n").toString();
  }

  private static void appendValue(StringBuilder line, Object value) {
    if (value instanceof Number || value instanceof Boolean) {
      line.append(value);
    } else {
      line.append(GSON.toJson(String.valueOf(value)));
    }
  }

  private void writeLines() {
    StringBuilder batch = new StringBuilder();
    try {
      while (!isClosed || !queue.isEmpty()) {
        Optional<String> first = awaitFirstLine();
        awaitBatch();
        fillBatch(first, batch);
        output.write(batch.toString().getBytes(StandardCharsets.UTF_8));
        output.flush();
      }
    } catch (IOException e) {
      // The output was closed; from now on lines fill the queue and are then dropped and counted.
      counters.increment("log.write-failed");
    }
  }

  /** Waits for a line; returns empty if the log is closed first. */
  private Optional<String> awaitFirstLine() {
    try {
      return isClosed ? Optional.empty() : Optional.of(queue.take());
    } catch (InterruptedException e) {
      // Only close() interrupts; the queued lines are then written without further waiting.
      return Optional.empty();
    }
  }

  /** Waits for more lines to collect into one write, unless the log is closed. */
  private void awaitBatch() {
    try {
      if (!isClosed) {
        TimeUnit.MILLISECONDS.sleep(BATCH_MILLIS);
      }
    } catch (InterruptedException e) {
      // Only close() interrupts.
      return;
    }
  }

  private void fillBatch(Optional<String> first, StringBuilder batch) {
    batch.setLength(0);
    long droppedLines = dropped.getAndSet(0);
    if (droppedLines > 0) {
      batch.append("{\"decision\":\"process\",\"id\":\"log\",\"dropped\":").append(droppedLines);
      batch.append("}\n");
    }
    String line = first.orElseGet(queue::poll);
    while (line != null) {
      batch.append(line);
      line = batch.length() < MAXIMUM_WRITE_BYTES ? queue.poll() : null;
    }
  }
}
