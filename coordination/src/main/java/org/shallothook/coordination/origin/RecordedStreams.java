package org.shallothook.coordination.origin;

import java.util.Map;

/**
 * Streams that one router has recorded at once, with the software version that began each.
 *
 * <p>Immutable and thread-safe.
 *
 * @param recordedMicros time of day at which they were recorded, in microseconds since the epoch
 * @param versions software version of each stream by the identifier of its request
 */
public record RecordedStreams(long recordedMicros, Map<String, String> versions) {
  public RecordedStreams {
    versions = Map.copyOf(versions);
  }
}
