package org.shallothook.coordination.origin;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.shallothook.state.collection.BoundedMaps;

/**
 * Records in the store which software version began the streams of one router, in batches.
 *
 * <p>Each batch has a key of its own, named after the router and the time of day, so that a write
 * that is executed late replaces nothing. A router has a bounded number of keys, and removes those
 * whose streams can no longer be resumed. At most one write is outstanding. Writes are spaced by a
 * time that grows with the number of routers, so that all routers together stay within a bounded
 * number of writes.
 *
 * <p>Invariant: a stream counts as recorded only after a write that contains its latest version has
 * succeeded; the number of streams is bounded, the oldest go first. Times are in microseconds on
 * the decision clock unless they are named as times of day. Not thread-safe.
 */
public final class OriginRecorder {
  /** Number of keys of a router; the longest time for which streams are kept, in key times. */
  static final int KEYS = 8_192;

  /** Shortest time between two writes of a router, and time for which a key is named, in micros. */
  static final long KEY_MICROS = 40_000;

  /** Time between two writes of a router, for each router of the fleet, in microseconds. */
  static final long WRITE_SPACING_MICROS = 5_000;

  /** Time after which a write without an answer is given up, in microseconds. */
  static final long WRITE_TIMEOUT_MICROS = 1_500_000;

  /** Time between two removals of keys, in microseconds. */
  static final long REMOVAL_INTERVAL_MICROS = 10_000_000;

  /** Maximum number of streams that a router remembers. */
  static final int MAXIMUM_STREAMS = 65_536;

  /** Maximum number of streams in one record, so that it keeps within the store's limit. */
  static final int MAXIMUM_BATCH = 2_048;

  /** Maximum number of keys that one write removes. */
  static final int MAXIMUM_REMOVED_KEYS = KEYS / 16;

  /** Maximum number of keys whose streams are written again at once. */
  static final int MAXIMUM_REPEATED_KEYS = 32;

  private static final char SEPARATOR = '/';

  private final String router;
  private final long timeOfDayMicros;
  private final Map<String, Begun> begun = new LinkedHashMap<>();
  private final Map<String, String> pending = new LinkedHashMap<>();
  private final Map<String, RecordedStreams> written = new LinkedHashMap<>();
  private final Set<String> toRepeat = new LinkedHashSet<>();
  private Optional<Map<String, String>> outstanding = Optional.empty();
  private long writtenAtMicros = Long.MIN_VALUE / 2;
  private long nextRemovalMicros = Long.MIN_VALUE / 2;
  private boolean hasFailed;

  /** A stream that this router began. */
  private record Begun(String version, boolean isRecorded, long expiresAtMicros) {}

  /**
   * Creates a recorder without streams.
   *
   * @param router name of the router
   * @param timeOfDayMicros time of day when the decision clock is 0, in microseconds since the
   *     epoch
   */
  public OriginRecorder(String router, long timeOfDayMicros) {
    this.router = router;
    this.timeOfDayMicros = timeOfDayMicros;
  }

  /** Returns whether a key of the store belongs to a router. */
  static boolean isKeyOf(String router, String key) {
    return key.lastIndexOf(SEPARATOR) == router.length() && key.startsWith(router);
  }

  /**
   * Notes that a stream is being begun at a version.
   *
   * @param needsNoRecord whether the version is certain to be the one that others assume of a
   *     stream without a record
   * @param expiresAtMicros time until which the stream may be resumed
   */
  public void onBegun(String request, String version, boolean needsNoRecord, long expiresAtMicros) {
    Begun known = begun.get(request);
    boolean isRecorded = !needsNoRecord || (known != null && known.isRecorded());
    BoundedMaps.putNewest(
        begun, request, new Begun(version, isRecorded, expiresAtMicros), MAXIMUM_STREAMS);
    boolean isUnchanged = known != null && known.isRecorded() && known.version().equals(version);
    if (isRecorded && !isUnchanged) {
      BoundedMaps.putNewest(pending, request, version, MAXIMUM_STREAMS);
    }
  }

  /** Returns the version that began a stream of this router; empty if it is not known here. */
  public Optional<String> versionOf(String request) {
    return Optional.ofNullable(begun.get(request)).map(Begun::version);
  }

  /** Returns whether a stream has to be recorded and is not known to be. */
  public boolean isPending(String request) {
    return pending.containsKey(request)
        || outstanding.filter(batch -> batch.containsKey(request)).isPresent();
  }

  /**
   * Returns whether the latest write has neither failed nor taken longer than a time.
   *
   * @param longestMicros longest time that a write may take, in microseconds
   */
  public boolean isWritable(long longestMicros, long nowMicros) {
    boolean isSlow = outstanding.isPresent() && nowMicros - writtenAtMicros > longestMicros;
    return !hasFailed && !isSlow;
  }

  /**
   * Returns the keys that are due to be written, and marks the write as outstanding; a key without
   * streams is to be removed. Empty if nothing is due.
   *
   * @param routers number of routers of the fleet
   * @param resumableMicros longest time for which a stream may be resumed
   * @param read what the store is known to hold
   */
  public Map<String, Optional<RecordedStreams>> nextWrite(
      int routers, long resumableMicros, StreamOrigins read, long nowMicros) {
    long sinceWriteMicros = nowMicros - writtenAtMicros;
    if (outstanding.isPresent() && sinceWriteMicros >= WRITE_TIMEOUT_MICROS) {
      onWritten(false);
    }
    boolean isSpaced = sinceWriteMicros >= Math.max(KEY_MICROS, WRITE_SPACING_MICROS * routers);
    boolean hasStreams = !pending.isEmpty() || !toRepeat.isEmpty();
    if (outstanding.isPresent() || !isSpaced || (!hasStreams && nowMicros < nextRemovalMicros)) {
      return Map.of();
    }
    long dayMicros = timeOfDayMicros + nowMicros;
    Map<String, Optional<RecordedStreams>> write = new LinkedHashMap<>();
    long expiredMicros = dayMicros - Math.min(resumableMicros, KEYS * KEY_MICROS);
    written.values().removeIf(streams -> streams.recordedMicros() < expiredMicros);
    if (nowMicros >= nextRemovalMicros) {
      nextRemovalMicros = nowMicros + REMOVAL_INTERVAL_MICROS;
      read.keysOf(router, expiredMicros, MAXIMUM_REMOVED_KEYS)
          .forEach(key -> write.put(key, Optional.empty()));
    }
    repeatWritten(write);
    Map<String, String> batch = takeBatch();
    if (!batch.isEmpty()) {
      String key = router + SEPARATOR + Math.floorMod(dayMicros / KEY_MICROS, KEYS);
      RecordedStreams streams = new RecordedStreams(dayMicros, batch);
      BoundedMaps.putNewest(written, key, streams, KEYS);
      write.put(key, Optional.of(streams));
    }
    if (!write.isEmpty()) {
      outstanding = Optional.of(batch);
      writtenAtMicros = nowMicros;
    }
    return write;
  }

  private void repeatWritten(Map<String, Optional<RecordedStreams>> write) {
    toRepeat.retainAll(written.keySet());
    toRepeat.stream()
        .limit(MAXIMUM_REPEATED_KEYS)
        .forEach(key -> write.put(key, Optional.of(written.get(key))));
    toRepeat.removeAll(write.keySet());
  }

  private Map<String, String> takeBatch() {
    Map<String, String> batch = new LinkedHashMap<>();
    pending.entrySet().stream()
        .limit(MAXIMUM_BATCH)
        .forEach(one -> batch.put(one.getKey(), one.getValue()));
    pending.keySet().removeAll(batch.keySet());
    return batch;
  }

  /**
   * Records that the outstanding write has ended.
   *
   * @param isDone whether it is known to be done; if not, its streams are written again
   */
  public void onWritten(boolean isDone) {
    if (!isDone) {
      outstanding.ifPresent(batch -> batch.forEach(pending::putIfAbsent));
    }
    hasFailed = !isDone;
    outstanding = Optional.empty();
  }

  /** Lets all streams be written again, since the store may have lost them. */
  public void onRestored() {
    toRepeat.addAll(written.keySet());
  }

  /** Forgets the streams that can no longer be resumed. */
  public void removeExpired(long nowMicros) {
    Iterator<Begun> oldestFirst = begun.values().iterator();
    while (oldestFirst.hasNext() && nowMicros >= oldestFirst.next().expiresAtMicros()) {
      oldestFirst.remove();
    }
  }
}
