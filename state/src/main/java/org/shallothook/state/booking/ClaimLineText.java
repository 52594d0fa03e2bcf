package org.shallothook.state.booking;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Text format of the records of claims partitions: one line per {@link ClaimLine}, with
 * percent-encoded fields separated by spaces.
 *
 * <p>Invariant: a line that is written and read again is equal to the original. Stateless and
 * thread-safe.
 */
public final class ClaimLineText {
  private static final String SEPARATOR = " ";
  private static final String BODY_NOT_KEPT = "-";

  private ClaimLineText() {}

  /** Lines of a record, and the number of its malformed lines. */
  public record ParsedRecord(List<ClaimLine> lines, int malformedLines) {}

  /** Returns the text of one line, without a line terminator. */
  public static String write(ClaimLine line) {
    if (line instanceof ClaimLine.Claim claim) {
      return join("claim", claim.scope(), claim.digest(), claim.claim());
    }
    if (line instanceof ClaimLine.Finished finished) {
      return join("finished", finished.scope(), finished.claim())
          + SEPARATOR
          + outcome(finished.outcome());
    }
    if (line instanceof ClaimLine.Released released) {
      return join("released", released.scope(), released.claim());
    }
    if (line instanceof ClaimLine.Covered covered) {
      return join("covered", "" + covered.fromOffset(), "" + covered.sinceMicros());
    }
    return carried(((ClaimLine.Carried) line).entry());
  }

  /** Returns the lines of a record. Malformed lines are skipped and counted. */
  public static ParsedRecord read(String payload) {
    List<ClaimLine> lines = new ArrayList<>();
    int malformed = 0;
    for (String text : payload.lines().toList()) {
      try {
        lines.add(line(fields(text)));
      } catch (RuntimeException e) {
        malformed++;
      }
    }
    return new ParsedRecord(lines, malformed);
  }

  private static ClaimLine line(List<String> fields) {
    return switch (fields.get(0)) {
      case "claim" -> new ClaimLine.Claim(fields.get(1), fields.get(2), fields.get(3));
      case "finished" ->
          new ClaimLine.Finished(fields.get(1), fields.get(2), outcome(fields.subList(3, 6)));
      case "released" -> new ClaimLine.Released(fields.get(1), fields.get(2));
      case "covered" ->
          new ClaimLine.Covered(Long.parseLong(fields.get(1)), Long.parseLong(fields.get(2)));
      case "carried" -> carried(fields);
      default -> throw new IllegalArgumentException("Unknown line type '" + fields.get(0) + "'.");
    };
  }

  private static String carried(ClaimEntry entry) {
    String line =
        join(
            "carried",
            entry.scope(),
            entry.digest(),
            entry.claim(),
            "" + entry.offset(),
            "" + entry.claimedAtMicros(),
            "" + entry.isHeld(),
            String.join(",", new TreeSet<>(entry.released())));
    return entry.outcome().map(outcome -> line + SEPARATOR + outcome(outcome)).orElse(line);
  }

  private static ClaimLine carried(List<String> fields) {
    Optional<ServiceOutcome> outcome =
        fields.size() > 8 ? Optional.of(outcome(fields.subList(8, 11))) : Optional.empty();
    String released = fields.get(7);
    return new ClaimLine.Carried(
        new ClaimEntry(
            fields.get(1),
            fields.get(2),
            fields.get(3),
            Long.parseLong(fields.get(4)),
            Long.parseLong(fields.get(5)),
            Boolean.parseBoolean(fields.get(6)),
            released.isEmpty() ? Set.of() : Set.copyOf(Arrays.asList(released.split(","))),
            outcome));
  }

  private static String outcome(ServiceOutcome outcome) {
    String body = outcome.body().map(text -> "=" + text).orElse(BODY_NOT_KEPT);
    return join("" + outcome.status(), outcome.contentType(), body);
  }

  private static ServiceOutcome outcome(List<String> fields) {
    String body = fields.get(2);
    Optional<String> kept =
        body.equals(BODY_NOT_KEPT) ? Optional.empty() : Optional.of(body.substring(1));
    return new ServiceOutcome(Integer.parseInt(fields.get(0)), fields.get(1), kept);
  }

  private static String join(String... fields) {
    StringBuilder line = new StringBuilder();
    for (String field : fields) {
      line.append(line.isEmpty() ? "" : SEPARATOR);
      line.append(URLEncoder.encode(field, StandardCharsets.UTF_8));
    }
    return line.toString();
  }

  private static List<String> fields(String line) {
    return Arrays.stream(line.split(SEPARATOR, -1))
        .map(field -> URLDecoder.decode(field, StandardCharsets.UTF_8))
        .toList();
  }
}
