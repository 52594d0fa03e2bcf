package org.shallothook.state.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.shallothook.state.log.LogRecord;

/**
 * Copy of the configuration stream's newest records together with the state folded from them.
 *
 * <p>Records may come from the log or from peers, late, twice or with gaps. Records that follow the
 * state are folded at once. Where the records between are no longer kept anywhere, the copy
 * collects what there is until it holds a complete snapshot, and goes on from that.
 *
 * <p>Invariant: the offset of the state never falls; the retained records are enough to build the
 * state from nothing. Not thread-safe.
 */
public final class ConfigurationLog {
  private static final int HISTORY_ENTRIES = 1_000;

  private final boolean holdsTexts;
  private final ArrayList<RetainedRecord> retained = new ArrayList<>();
  private final ArrayList<LogRecord> collected = new ArrayList<>();
  private final SnapshotProgress progress = new SnapshotProgress();
  private final SnapshotProgress collectedProgress = new SnapshotProgress();
  private final ArrayDeque<HistoryEntry> history = new ArrayDeque<>();
  private ConfigurationState state = ConfigurationState.EMPTY;
  private long faultyRecords;
  private long conflicts;

  /** Creates a copy without records, whose templates hold their texts. */
  public ConfigurationLog() {
    this(true);
  }

  /**
   * Creates a copy without records.
   *
   * @param holdsTexts whether the templates of the state hold the texts of their prompts
   */
  public ConfigurationLog(boolean holdsTexts) {
    this.holdsTexts = holdsTexts;
  }

  /** Returns the state in force. */
  public ConfigurationState state() {
    return state;
  }

  /** Returns the offset from which records are wanted next. */
  public long nextOffset() {
    return collected.isEmpty() ? state.offset() : lastCollected() + 1;
  }

  /** Returns whether records are being collected for want of a complete snapshot. */
  public boolean isCollecting() {
    return !collected.isEmpty();
  }

  /** Gives up collecting, so that the next records wanted are those above the state. */
  public void stopCollecting() {
    collected.clear();
    collectedProgress.clear();
  }

  /**
   * Takes records in order of offset.
   *
   * @param firstAvailable lowest offset that their source can still give
   * @param records consecutive records
   */
  public void take(long firstAvailable, List<LogRecord> records) {
    for (LogRecord record : records) {
      if (record.offset() == state.offset()) {
        stopCollecting();
        fold(record);
      } else if (record.offset() > state.offset() && !takeAbove(firstAvailable, record)) {
        return;
      }
    }
  }

  /** Returns the newest records of the stream, oldest first. */
  public List<HistoryEntry> history() {
    return List.copyOf(history);
  }

  /** Returns what became of a change, if a record with its identifier is in the history. */
  public Optional<HistoryEntry> firstEntryOf(String change) {
    return history.stream().filter(entry -> entry.change().equals(change)).findFirst();
  }

  /** Returns the retained records from an offset on, or all of them where older ones are gone. */
  public List<LogRecord> recordsFrom(long offset) {
    if (retained.isEmpty() || offset >= state.offset()) {
      return List.of();
    }
    int start = (int) Math.max(0, offset - retained.get(0).offset());
    return retained.subList(start, retained.size()).stream()
        .map(RetainedRecord::toLogRecord)
        .toList();
  }

  /** Returns the offset of the oldest record that a newcomer needs, if there is any record. */
  public Optional<Long> oldestRetainedOffset() {
    return oldestRetained().map(RetainedRecord::offset);
  }

  /** Returns when that record was appended, in microseconds since the epoch. */
  public Optional<Long> oldestRetainedAtMicros() {
    return oldestRetained().map(RetainedRecord::appendedAtMicros);
  }

  /** Returns whether a part of a snapshot has been read. */
  public boolean hasSnapshotPart(long at, int part) {
    return progress.has(at, part);
  }

  /** Returns the offset of the newest snapshot of which a part has been read. */
  public Optional<Long> newestSnapshot() {
    return progress.newest();
  }

  /** Returns how many faulty records were skipped. */
  public long faultyRecords() {
    return faultyRecords;
  }

  /** Returns how many changes lost against another change of the same template. */
  public long conflicts() {
    return conflicts;
  }

  private Optional<RetainedRecord> oldestRetained() {
    return retained.stream().findFirst();
  }

  private boolean takeAbove(long firstAvailable, LogRecord record) {
    if (!collected.isEmpty() && record.offset() <= lastCollected()) {
      return true;
    }
    if (!collected.isEmpty() && record.offset() == lastCollected() + 1) {
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
    state = holdsTexts ? folded.state() : folded.state().withoutTexts(folded.template());
    Optional<String> held = state.version(folded.template()).flatMap(TemplateVersion::source);
    retained.add(RetainedRecord.of(record, held));
    remember(record, folded);
    if (folded.verdict() == ChangeVerdict.SNAPSHOT) {
      snapshotPart(record).ifPresent(this::noteSnapshotPart);
    }
  }

  private void noteSnapshotPart(ConfigurationRecord.SnapshotPart part) {
    boolean isWithinReach = !retained.isEmpty() && part.at() >= retained.get(0).offset();
    if (isWithinReach && part.at() < state.offset() && progress.note(part)) {
      retained.removeIf(record -> record.offset() < part.at());
      progress.forgetBelow(part.at());
    }
  }

  private void collect(LogRecord record) {
    collected.add(record);
    snapshotPart(record)
        .filter(part -> part.at() >= collected.get(0).offset())
        .filter(part -> part.at() <= record.offset())
        .filter(collectedProgress::note)
        .ifPresent(part -> restore(part.at()));
  }

  private void restore(long at) {
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
    progress.clear();
    state = holdsTexts ? restored.get() : restored.get().withoutTexts();
    above.forEach(this::fold);
  }

  private void remember(LogRecord record, FoldedRecord folded) {
    faultyRecords += folded.verdict() == ChangeVerdict.INVALID ? 1 : 0;
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

  private long lastCollected() {
    return collected.get(collected.size() - 1).offset();
  }

  private static Optional<ConfigurationRecord.SnapshotPart> snapshotPart(LogRecord record) {
    return ConfigurationRecordText.read(record.payload())
        .toJavaOptional()
        .filter(ConfigurationRecord.SnapshotPart.class::isInstance)
        .map(ConfigurationRecord.SnapshotPart.class::cast);
  }
}
