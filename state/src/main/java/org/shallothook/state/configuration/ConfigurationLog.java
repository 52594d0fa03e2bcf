package org.shallothook.state.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.shallothook.state.log.LogRecord;

/**
 * A replica of the newest records of the configuration stream and the state folded from them.
 *
 * <p>Records may come from the log or from peers, late, repeatedly or with gaps. A record at the
 * offset of the state is folded immediately. If the source no longer has the records that follow
 * the state, the replica collects later records until they contain a complete snapshot, and
 * continues from that snapshot.
 *
 * <p>Invariants: the offset of the state never decreases; the state can be rebuilt from the
 * retained records alone. Not thread-safe.
 */
public final class ConfigurationLog {
  private static final int HISTORY_ENTRIES = 1_000;

  private final boolean keepsPromptTexts;
  private final ArrayList<RetainedRecord> retained = new ArrayList<>();
  private final ArrayList<LogRecord> collected = new ArrayList<>();
  private final SnapshotProgress retainedSnapshots = new SnapshotProgress();
  private final SnapshotProgress collectedSnapshots = new SnapshotProgress();
  private final ArrayDeque<HistoryEntry> history = new ArrayDeque<>();
  private ConfigurationState state = ConfigurationState.EMPTY;
  private long invalidRecords;
  private long conflicts;

  /** Creates an empty replica whose templates keep the texts of their prompts. */
  public ConfigurationLog() {
    this(true);
  }

  /**
   * Creates an empty replica.
   *
   * @param keepsPromptTexts whether the templates of the state keep the texts of their prompts
   */
  public ConfigurationLog(boolean keepsPromptTexts) {
    this.keepsPromptTexts = keepsPromptTexts;
  }

  /** Returns the state in force. */
  public ConfigurationState state() {
    return state;
  }

  /** Returns the offset of the next record to read. */
  public long nextOffset() {
    return collected.isEmpty() ? state.offset() : lastCollectedOffset() + 1;
  }

  /** Returns whether records are being collected until they contain a complete snapshot. */
  public boolean isCollecting() {
    return !collected.isEmpty();
  }

  /**
   * Discards the collected records, so that the next record to read is the one at the state's
   * offset.
   */
  public void stopCollecting() {
    collected.clear();
    collectedSnapshots.clear();
  }

  /**
   * Applies records, given in order of offset.
   *
   * @param firstAvailable lowest offset that the source of the records still has
   * @param records consecutive records
   */
  public void apply(long firstAvailable, List<LogRecord> records) {
    for (LogRecord record : records) {
      if (record.offset() == state.offset()) {
        stopCollecting();
        fold(record);
      } else if (record.offset() > state.offset() && !collectAhead(firstAvailable, record)) {
        return;
      }
    }
  }

  /** Returns the results of the newest records of the stream, oldest first. */
  public List<HistoryEntry> history() {
    return List.copyOf(history);
  }

  /** Returns the oldest history entry with the identifier of a change, if there is one. */
  public Optional<HistoryEntry> firstEntryOf(String change) {
    return history.stream().filter(entry -> entry.change().equals(change)).findFirst();
  }

  /**
   * Returns the retained records from an offset on, or all of them if the offset is below the
   * oldest.
   */
  public List<LogRecord> recordsFrom(long offset) {
    if (retained.isEmpty() || offset >= state.offset()) {
      return List.of();
    }
    int start = (int) Math.max(0, offset - retained.get(0).offset());
    return retained.subList(start, retained.size()).stream()
        .map(RetainedRecord::toLogRecord)
        .toList();
  }

  /** Returns the offset of the oldest record that a new replica needs, if there is any record. */
  public Optional<Long> oldestRetainedOffset() {
    return oldestRetained().map(RetainedRecord::offset);
  }

  /**
   * Returns when the record at {@link #oldestRetainedOffset} was appended, in microseconds since
   * the epoch.
   */
  public Optional<Long> oldestRetainedAtMicros() {
    return oldestRetained().map(RetainedRecord::appendedAtMicros);
  }

  /** Returns whether a part of the snapshot at an offset has been read. */
  public boolean hasSnapshotPart(long at, int part) {
    return retainedSnapshots.has(at, part);
  }

  /** Returns the offset of the newest snapshot of which a part has been read. */
  public Optional<Long> newestSnapshot() {
    return retainedSnapshots.newest();
  }

  /** Returns the number of invalid records that were skipped. */
  public long invalidRecords() {
    return invalidRecords;
  }

  /** Returns the number of changes that conflicted with an earlier change of the same template. */
  public long conflicts() {
    return conflicts;
  }

  private Optional<RetainedRecord> oldestRetained() {
    return retained.stream().findFirst();
  }

  /**
   * Collects a record above the offset of the state.
   *
   * @return false if the record is not contiguous with the collected ones and the source still has
   *     the record at the offset of the state, so that it is to be read from there
   */
  private boolean collectAhead(long firstAvailable, LogRecord record) {
    if (!collected.isEmpty() && record.offset() <= lastCollectedOffset()) {
      return true;
    }
    if (!collected.isEmpty() && record.offset() == lastCollectedOffset() + 1) {
      collect(record);
      return true;
    }
    if (firstAvailable <= state.offset()) {
      return false;
    }
    stopCollecting();
    collect(record);
    return true;
  }

  private void fold(LogRecord record) {
    FoldedRecord folded = state.fold(record);
    state =
        keepsPromptTexts ? folded.state() : folded.state().withoutPromptTexts(folded.template());
    Optional<String> source = state.version(folded.template()).flatMap(TemplateVersion::source);
    retained.add(RetainedRecord.of(record, source));
    recordHistory(record, folded);
    if (folded.verdict() == ChangeVerdict.SNAPSHOT) {
      snapshotPart(record).ifPresent(this::onSnapshotPart);
    }
  }

  private void onSnapshotPart(ConfigurationRecord.SnapshotPart part) {
    boolean isRetained = !retained.isEmpty() && part.at() >= retained.get(0).offset();
    if (isRetained && part.at() < state.offset() && retainedSnapshots.add(part)) {
      retained.removeIf(record -> record.offset() < part.at());
      retainedSnapshots.removeBelow(part.at());
    }
  }

  private void collect(LogRecord record) {
    collected.add(record);
    snapshotPart(record)
        .filter(part -> part.at() >= collected.get(0).offset())
        .filter(part -> part.at() <= record.offset())
        .filter(collectedSnapshots::add)
        .ifPresent(part -> restoreSnapshot(part.at()));
  }

  private void restoreSnapshot(long at) {
    List<ConfigurationRecord.SnapshotPart> parts = new ArrayList<>();
    List<LogRecord> above = new ArrayList<>();
    for (LogRecord record : collected) {
      if (record.offset() >= at) {
        above.add(record);
        snapshotPart(record).filter(part -> part.at() == at).ifPresent(parts::add);
      }
    }
    Optional<ConfigurationState> restored = ConfigurationState.ofSnapshot(at, parts);
    if (restored.isEmpty()) {
      return;
    }
    stopCollecting();
    retained.clear();
    retainedSnapshots.clear();
    state = keepsPromptTexts ? restored.get() : restored.get().withoutPromptTexts();
    above.forEach(this::fold);
  }

  private void recordHistory(LogRecord record, FoldedRecord folded) {
    invalidRecords += folded.verdict() == ChangeVerdict.INVALID ? 1 : 0;
    conflicts += folded.verdict() == ChangeVerdict.CONFLICT ? 1 : 0;
    history.add(
        new HistoryEntry(
            record.offset(),
            record.appendedAtMicros(),
            folded.verdict(),
            folded.template(),
            folded.change(),
            folded.error().map(ConfigurationError::message).orElse("")));
    if (history.size() > HISTORY_ENTRIES) {
      history.remove();
    }
  }

  private long lastCollectedOffset() {
    return collected.get(collected.size() - 1).offset();
  }

  private static Optional<ConfigurationRecord.SnapshotPart> snapshotPart(LogRecord record) {
    return ConfigurationRecordText.read(record.payload())
        .toJavaOptional()
        .filter(ConfigurationRecord.SnapshotPart.class::isInstance)
        .map(ConfigurationRecord.SnapshotPart.class::cast);
  }
}
