package org.shallothook.coordination.booking;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.shallothook.state.booking.ClaimEntry;
import org.shallothook.state.booking.ClaimLine;
import org.shallothook.state.booking.ClaimLineText;
import org.shallothook.state.booking.ClaimTable;

/**
 * Writes the entries of a partition anew before the log drops them, where the log keeps records for
 * a shorter time than claims are remembered.
 *
 * <p>Invariant: a line that says what is covered follows the entries that it speaks for, and each
 * batch of them is known to be in the log before the next is given. Not thread-safe.
 */
final class ClaimRewriter {
  /** Number of times that entries are written within the retention of the log. */
  private static final long ROUNDS_PER_RETENTION = 4;

  private static final int BATCH_CHARACTERS = 24_000;

  private final ClaimTable table;
  private final ClaimOptions options;
  private final ArrayDeque<String> scopes = new ArrayDeque<>();
  private List<ClaimLine> batch = List.of();
  private boolean isRunning;
  private long fromOffset;
  private long sinceMicros;
  private long nextRoundMicros = Long.MIN_VALUE;

  ClaimRewriter(ClaimTable table, ClaimOptions options) {
    this.table = table;
    this.options = options;
  }

  /** Returns the lines for the next append; the same ones until they are known to be in the log. */
  List<ClaimLine> linesDue(long nowMicros) {
    if (!options.needsCarrying()) {
      return List.of();
    }
    if (batch.isEmpty() && !isRunning && nowMicros >= nextRoundMicros) {
      startRound(nowMicros);
    }
    if (batch.isEmpty() && isRunning) {
      batch = nextBatch();
    }
    return batch;
  }

  /** Notes that the lines given last are in the log. */
  void onAppended() {
    batch = List.of();
  }

  private void startRound(long nowMicros) {
    nextRoundMicros = nowMicros + options.retentionMicros() / ROUNDS_PER_RETENTION;
    fromOffset = table.nextOffset();
    sinceMicros = Math.max(table.coveredSinceMicros(), nowMicros - options.memoryMicros());
    table.entries().forEach(entry -> scopes.add(entry.scope()));
    isRunning = true;
  }

  private List<ClaimLine> nextBatch() {
    List<ClaimLine> lines = new ArrayList<>();
    int characters = 0;
    while (!scopes.isEmpty() && characters < BATCH_CHARACTERS) {
      ClaimEntry entry = table.entry(scopes.remove()).orElse(null);
      if (entry != null) {
        ClaimLine line = new ClaimLine.Carried(entry);
        characters += ClaimLineText.write(line).length();
        lines.add(line);
      }
    }
    if (scopes.isEmpty()) {
      lines.add(new ClaimLine.Covered(fromOffset, sinceMicros));
      isRunning = false;
    }
    return lines;
  }
}
