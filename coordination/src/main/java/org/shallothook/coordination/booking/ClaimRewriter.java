package org.shallothook.coordination.booking;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.shallothook.state.booking.ClaimEntry;
import org.shallothook.state.booking.ClaimLine;
import org.shallothook.state.booking.ClaimLineText;
import org.shallothook.state.booking.ClaimTable;

/**
 * Rewrites the entries of a partition before the log drops them, if the log retains records for a
 * shorter time than claims.
 *
 * <p>Each round writes all entries of the table in batches.
 *
 * <p>Invariant: a {@link ClaimLine.Covered} line follows all the entries that it covers, and each
 * batch is known to be in the log before the next one is returned. Not thread-safe.
 */
final class ClaimRewriter {
  /** Number of rounds within the retention of the log. */
  private static final long ROUNDS_PER_RETENTION = 4;

  /** Size above which a batch takes no further entry, in characters. */
  private static final int BATCH_CHARACTERS = 24_000;

  private final ClaimTable table;
  private final ClaimOptions options;
  private final ArrayDeque<String> remainingScopes = new ArrayDeque<>();
  private List<ClaimLine> batch = List.of();
  private boolean isRoundActive;
  private long coveredFromOffset;
  private long coveredSinceMicros;
  private long nextRoundMicros = Long.MIN_VALUE;

  ClaimRewriter(ClaimTable table, ClaimOptions options) {
    this.table = table;
    this.options = options;
  }

  /** Returns the lines for the next append: the same ones until they are known to be in the log. */
  List<ClaimLine> linesDue(long nowMicros) {
    if (!options.needsRewriting()) {
      return List.of();
    }
    if (batch.isEmpty() && !isRoundActive && nowMicros >= nextRoundMicros) {
      startRound(nowMicros);
    }
    if (batch.isEmpty() && isRoundActive) {
      batch = nextBatch();
    }
    return batch;
  }

  /** Records that the lines returned last are in the log. */
  void onAppended() {
    batch = List.of();
  }

  private void startRound(long nowMicros) {
    nextRoundMicros = nowMicros + options.retentionMicros() / ROUNDS_PER_RETENTION;
    coveredFromOffset = table.nextOffset();
    coveredSinceMicros =
        Math.max(table.coveredSinceMicros(), nowMicros - options.claimRetentionMicros());
    table.entries().forEach(entry -> remainingScopes.add(entry.scope()));
    isRoundActive = true;
  }

  private List<ClaimLine> nextBatch() {
    List<ClaimLine> lines = new ArrayList<>();
    int characters = 0;
    while (!remainingScopes.isEmpty() && characters < BATCH_CHARACTERS) {
      ClaimEntry entry = table.entry(remainingScopes.remove()).orElse(null);
      if (entry != null) {
        ClaimLine line = new ClaimLine.Carried(entry);
        characters += ClaimLineText.write(line).length();
        lines.add(line);
      }
    }
    if (remainingScopes.isEmpty()) {
      lines.add(new ClaimLine.Covered(coveredFromOffset, coveredSinceMicros));
      isRoundActive = false;
    }
    return lines;
  }
}
