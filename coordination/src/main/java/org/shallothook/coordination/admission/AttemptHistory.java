package org.shallothook.coordination.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.RequestId;

/**
 * Bounded history of attempt records, oldest first.
 *
 * <p>Invariant: at most {@link #MAXIMUM_RECORDS} records are retained. Not thread-safe: used on the
 * decision thread.
 */
public final class AttemptHistory {
  /** Maximum number of retained records. */
  public static final int MAXIMUM_RECORDS = 512;

  private final Deque<AttemptRecord> records = new ArrayDeque<>();

  void add(AttemptRecord record) {
    if (records.size() == MAXIMUM_RECORDS) {
      records.removeFirst();
    }
    records.addLast(record);
  }

  /** Returns the latest record of an attempt, if it is still retained. */
  Optional<AttemptRecord> find(AttemptId attempt) {
    return records.stream()
        .filter(record -> record.attempt().equals(attempt))
        .reduce((first, second) -> second);
  }

  /** Returns the retained records of a request, oldest first. */
  public List<AttemptRecord> of(RequestId request) {
    return records.stream().filter(record -> record.attempt().request().equals(request)).toList();
  }

  /** Returns all retained records, oldest first. */
  public List<AttemptRecord> all() {
    return List.copyOf(records);
  }
}
