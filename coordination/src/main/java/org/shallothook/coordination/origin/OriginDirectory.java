package org.shallothook.coordination.origin;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Knows which software version began a stream, and lets other routers know it.
 *
 * <p>A stream that is begun at another version than the base version of its service is recorded in
 * the store before its response leaves the router. So a stream without a record was begun at the
 * base version, for a router that has read the store since it was asked.
 *
 * <p>Invariant: a version is named only if it is known to have begun the stream. All times are in
 * microseconds on the decision clock. Not thread-safe.
 */
public final class OriginDirectory {
  /**
   * Time for which a response waits until its stream is recorded, in microseconds. After it the
   * caller is served all the same, unless the stream could be taken for one of another version.
   */
  public static final long RECORD_WAIT_MICROS = 400_000;

  /**
   * Time after an outage or a restore of the store during which streams may lack their records, in
   * microseconds.
   */
  static final long AFTERMATH_MICROS = 3_000_000;

  /** Time between two attempts of a router to declare versions, in microseconds. */
  static final long DECLARATION_INTERVAL_MICROS = 500_000;

  private final SoftwareVersions versions = new SoftwareVersions();
  private final StreamOrigins origins = new StreamOrigins();
  private final OriginRecorder recorder;
  private final SplittableRandom random;
  private long resumableMicros;
  private Optional<Long> completeUntilMicros = Optional.empty();
  private Optional<Long> nextDeclarationMicros = Optional.empty();
  private boolean isReachable;
  private long outageEndedMicros = Long.MIN_VALUE / 2;
  private long restoredMicros = Long.MIN_VALUE / 2;

  /**
   * Creates a directory that knows nothing.
   *
   * @param router name of the router
   * @param timeOfDayMicros time of day when the decision clock is 0, in microseconds since the
   *     epoch
   * @param random source of the delays of declarations
   */
  public OriginDirectory(String router, long timeOfDayMicros, SplittableRandom random) {
    this.recorder = new OriginRecorder(router, timeOfDayMicros);
    this.random = random;
  }

  /** Sets the longest time for which a stream may be resumed, in microseconds. */
  public void onResumableTime(long micros) {
    resumableMicros = micros;
  }

  /** Applies the software versions of all listed servers. */
  public void onListed(Set<SoftwareVersion> listed, long nowMicros) {
    versions.onListed(listed, nowMicros);
  }

  /** Applies a declaration read from the store; a withdrawn version has no position. */
  public void onDeclared(SoftwareVersion version, Optional<Long> position, long nowMicros) {
    versions.onDeclared(version, position, nowMicros);
  }

  /** Applies the streams of a key read from the store; empty if it was removed or is unreadable. */
  public void onRecorded(String key, Optional<RecordedStreams> streams) {
    origins.onRecorded(key, streams);
  }

  /** Records that all declarations and records written before a time are known. */
  public void onRead(long allBeforeMicros) {
    completeUntilMicros = Optional.of(allBeforeMicros);
  }

  /** Records whether the outstanding write of records is known to be done. */
  public void onWritten(boolean isDone) {
    recorder.onWritten(isDone);
  }

  /** Records that the store has become readable or unreadable. */
  public void onReachable(boolean isNowReachable, long nowMicros) {
    if (isNowReachable && !isReachable && completeUntilMicros.isPresent()) {
      outageEndedMicros = nowMicros;
    }
    isReachable = isNowReachable;
    versions.onUncertain(nowMicros);
  }

  /** Records that the store was restored from a copy, which may lack declarations and records. */
  public void onRestored(long nowMicros) {
    restoredMicros = nowMicros;
    recorder.onRestored();
    versions.onRestored(nowMicros + resumableMicros);
    versions.onUncertain(nowMicros);
  }

  /** Notes that a stream is being begun at a version. */
  public void onBegun(String request, SoftwareVersion version, long nowMicros) {
    boolean isCertainBase =
        completeUntilMicros.filter(until -> versions.isCertainBase(version, until)).isPresent();
    boolean needsNoRecord = isCertainBase && !isRestoring(nowMicros);
    recorder.onBegun(request, version.version(), needsNoRecord, nowMicros + resumableMicros);
  }

  /** Returns whether the store was restored so recently that it may lack what was written. */
  private boolean isRestoring(long nowMicros) {
    return nowMicros - restoredMicros < AFTERMATH_MICROS;
  }

  /** Returns whether any version of a service is declared or listed. */
  public boolean knowsVersions(String service) {
    return versions.knows(service);
  }

  /** Returns whether a stream has to be recorded and is not known to be. */
  public boolean isPending(String request) {
    return recorder.isPending(request);
  }

  /** Returns the version at which this router has begun a stream; empty if it has not. */
  public Optional<String> begunVersion(String request) {
    return recorder.versionOf(request);
  }

  /** Returns the base version of a service; empty if none is declared. */
  public Optional<String> base(String service) {
    return versions.base(service);
  }

  /** Returns whether new streams should be begun at the base version, as others go unrecorded. */
  public boolean prefersBase(long nowMicros) {
    return !isReachable || !recorder.isWritable(RECORD_WAIT_MICROS, nowMicros);
  }

  /**
   * Returns whether the store has to be read so that it is known whether listed versions are
   * declared.
   */
  public boolean needsRead() {
    return versions
        .latestListingMicros()
        .filter(listed -> completeUntilMicros.filter(until -> until >= listed).isEmpty())
        .isPresent();
  }

  /**
   * Returns what is known about the software version that began a stream.
   *
   * @param request identifier of the request that began it; empty if the caller does not name it
   * @param service service of the stream
   * @param askedMicros when the stream was to be resumed
   */
  public Origin find(Optional<String> request, String service, long askedMicros, long nowMicros) {
    Optional<String> own = request.flatMap(recorder::versionOf);
    if (own.isPresent()) {
      return new Origin(Origin.Knowledge.OWN, own, 0);
    }
    if (completeUntilMicros.filter(until -> until >= askedMicros).isEmpty()) {
      return new Origin(Origin.Knowledge.AWAITED, Optional.empty(), Origin.NO_AGE);
    }
    long ageMicros = nowMicros - completeUntilMicros.get();
    Optional<String> recorded = request.flatMap(origins::versionOf);
    if (recorded.isPresent()) {
      return new Origin(Origin.Knowledge.RECORDED, recorded, ageMicros);
    }
    Optional<String> only = versions.only(service);
    boolean mayLackRecords =
        isRestoring(nowMicros) || !isReachable || nowMicros - outageEndedMicros < AFTERMATH_MICROS;
    if (only.isPresent() && !isRestoring(nowMicros)) {
      return new Origin(Origin.Knowledge.ONLY, only, ageMicros);
    }
    Optional<String> base = mayLackRecords ? Optional.empty() : versions.base(service);
    return request.isPresent() && base.isPresent()
        ? new Origin(Origin.Knowledge.BASE, base, ageMicros)
        : new Origin(Origin.Knowledge.UNKNOWN, Optional.empty(), ageMicros);
  }

  /**
   * Returns the declarations and withdrawals that are due; the store must refuse them if it has
   * declarations that are not known here.
   *
   * @param routers number of routers of the fleet
   */
  public Map<SoftwareVersion, Optional<Long>> declarationsDue(int routers, long nowMicros) {
    if (needsRead() || !isReachable || completeUntilMicros.isEmpty()) {
      return Map.of();
    }
    Map<SoftwareVersion, Optional<Long>> changes = versions.changesDue(resumableMicros, nowMicros);
    if (changes.isEmpty()) {
      nextDeclarationMicros = Optional.empty();
      return changes;
    }
    if (nextDeclarationMicros.isEmpty()) {
      // Of routers that learn of a version at the same time, one declares it and the others read.
      long spreadMicros = routers * OriginRecorder.WRITE_SPACING_MICROS;
      nextDeclarationMicros = Optional.of(nowMicros + random.nextLong(spreadMicros));
    }
    if (nowMicros < nextDeclarationMicros.get()) {
      return Map.of();
    }
    nextDeclarationMicros = Optional.of(nowMicros + DECLARATION_INTERVAL_MICROS);
    return changes;
  }

  /**
   * Returns the keys with records that are due to be written; see {@link OriginRecorder#nextWrite}.
   */
  public Map<String, Optional<RecordedStreams>> recordsDue(int routers, long nowMicros) {
    recorder.removeExpired(nowMicros);
    return recorder.nextWrite(routers, resumableMicros, origins, nowMicros);
  }
}
