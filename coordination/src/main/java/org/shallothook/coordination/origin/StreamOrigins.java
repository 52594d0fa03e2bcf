package org.shallothook.coordination.origin;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The software versions that began streams, as all routers have recorded them in the store. Each
 * router has a bounded number of keys there and uses the oldest again.
 *
 * <p>Invariant: holds just what the keys hold; of several records of one stream the latest counts.
 * Not thread-safe.
 */
public final class StreamOrigins {
  private final Map<String, RecordedStreams> recorded = new HashMap<>();
  private final Map<String, Origin> origins = new HashMap<>();

  private record Origin(String key, long recordedMicros, String version) {}

  /** Applies the value of a key; empty if the key was removed or has no readable value. */
  public void onRecorded(String key, Optional<RecordedStreams> streams) {
    Optional.ofNullable(recorded.remove(key))
        .ifPresent(
            previous -> previous.versions().keySet().forEach(request -> forget(request, key)));
    streams.ifPresent(
        present -> {
          recorded.put(key, present);
          present
              .versions()
              .forEach(
                  (request, version) ->
                      origins.merge(
                          request,
                          new Origin(key, present.recordedMicros(), version),
                          StreamOrigins::latest));
        });
  }

  /** Returns the software version that began a stream; empty if nobody has recorded it. */
  public Optional<String> versionOf(String request) {
    return Optional.ofNullable(origins.get(request)).map(Origin::version);
  }

  /** Returns the number of streams. */
  public int size() {
    return origins.size();
  }

  /**
   * Returns keys of a router whose streams were recorded before a time of day.
   *
   * @param maximum maximum number of keys
   */
  List<String> keysOf(String router, long beforeMicros, int maximum) {
    return recorded.entrySet().stream()
        .filter(one -> one.getValue().recordedMicros() < beforeMicros)
        .map(Map.Entry::getKey)
        .filter(key -> OriginRecorder.isKeyOf(router, key))
        .sorted()
        .limit(maximum)
        .toList();
  }

  private static Origin latest(Origin known, Origin other) {
    return other.recordedMicros() >= known.recordedMicros() ? other : known;
  }

  private void forget(String request, String key) {
    origins.computeIfPresent(request, (id, origin) -> origin.key().equals(key) ? null : origin);
  }
}
