package org.shallothook.coordination.quarantine;

import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Record of the log stream {@code quarantine}: a request that must not run until a given time.
 *
 * <p>Form: {@code quarantine FINGERPRINT UNTIL_MICROS}. Immutable and thread-safe.
 *
 * @param fingerprint digest of team and prompt, as {@link Fingerprint} computes it
 * @param untilMicros end of the quarantine, in microseconds since the epoch
 */
public record QuarantineRecord(String fingerprint, long untilMicros) {
  /** Name of the log stream. */
  public static final String STREAM = "quarantine";

  private static final Pattern FORM = Pattern.compile("quarantine ([0-9a-f]{32}) ([0-9]{1,18})");

  /** Returns the payload of the record. */
  public String toPayload() {
    return String.join(" ", List.of(STREAM, fingerprint, Long.toString(untilMicros)));
  }

  /** Parses a payload; empty if it is not a quarantine record. */
  public static Optional<QuarantineRecord> fromPayload(String payload) {
    Matcher matcher = FORM.matcher(payload);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    return Optional.of(new QuarantineRecord(matcher.group(1), Long.parseLong(matcher.group(2))));
  }
}
