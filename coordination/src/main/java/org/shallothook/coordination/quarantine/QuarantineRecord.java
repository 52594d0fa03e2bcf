package org.shallothook.coordination.quarantine;

import java.util.HexFormat;
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

  /** Begins the fingerprint of a part, whose other half is the hash of the part. */
  private static final String PART_PREFIX = "0".repeat(16);

  private static final int FINGERPRINT_DIGITS = 32;

  private static final Pattern FORM = Pattern.compile("quarantine ([0-9a-f]{32}) ([0-9]{1,18})");

  /** Returns the record of a part that requests may share. */
  static QuarantineRecord ofPart(long part, long untilMicros) {
    return new QuarantineRecord(PART_PREFIX + RequestSignature.textOf(part), untilMicros);
  }

  /** Returns the part that is quarantined; empty if it is a whole request. */
  Optional<Long> part() {
    return fingerprint.length() == FINGERPRINT_DIGITS && fingerprint.startsWith(PART_PREFIX)
        ? Optional.of(
            HexFormat.fromHexDigitsToLong(fingerprint, PART_PREFIX.length(), FINGERPRINT_DIGITS))
        : Optional.empty();
  }

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
