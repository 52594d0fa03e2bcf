package org.shallothook.coordination.origin;

import java.util.Locale;
import java.util.Optional;

/**
 * What is known about the software version that began a stream.
 *
 * <p>Immutable and thread-safe.
 *
 * @param knowledge how the version is known
 * @param version the version; empty if it is not known
 * @param ageMicros age of the knowledge, in microseconds; -1 if there is none
 */
public record Origin(Knowledge knowledge, Optional<String> version, long ageMicros) {
  /** Age of knowledge that does not exist. */
  static final long NO_AGE = -1;

  /** How the software version that began a stream is known. */
  public enum Knowledge {
    /** This router began the stream. */
    OWN,
    /** The router that began the stream has recorded it. */
    RECORDED,
    /** Nobody has recorded the stream, so it was begun at the base version. */
    BASE,
    /** The stream is not named, but its service has had one version only. */
    ONLY,
    /** The store has to be read first. */
    AWAITED,
    /** It is not known. */
    UNKNOWN;

    /** Returns the name used in log lines. */
    public String code() {
      return name().toLowerCase(Locale.ROOT);
    }
  }
}
