package org.shallothook.transport.logging;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.JsonSyntaxException;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.StringJoiner;

/**
 * A parsed line of a decision log.
 *
 * <p>Immutable and thread-safe.
 *
 * @param time time of the decision by the clock of the process that made it
 * @param process name of the log that contains the line
 * @param decision code of the decision
 * @param subject id of the request, or of the server or other object that the decision is about
 * @param fields all other fields by name
 */
public record DecisionLine(
    Instant time, String process, String decision, String subject, Map<String, String> fields) {
  private static final String TIME = "time";
  private static final String DECISION = "decision";
  private static final String SUBJECT = "id";

  public DecisionLine {
    fields = Map.copyOf(fields);
  }

  /**
   * Parses a line; text that a log collector has put before the JSON object is ignored.
   *
   * @param process name of the log
   * @param text the line
   * @return the decision; empty if the line is not one
   */
  public static Optional<DecisionLine> read(String process, String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonElement element = JsonParser.parseString(text.substring(start));
      return element.isJsonObject() ? of(process, element.getAsJsonObject()) : Optional.empty();
    } catch (JsonSyntaxException | DateTimeException e) {
      // Other programs write to the same logs; lines that are not decisions are ignored.
      return Optional.empty();
    }
  }

  private static Optional<DecisionLine> of(String process, JsonObject object) {
    Map<String, String> fields = new LinkedHashMap<>();
    object
        .entrySet()
        .forEach(
            entry ->
                fields.put(
                    entry.getKey(),
                    entry.getValue().isJsonPrimitive()
                        ? entry.getValue().getAsString()
                        : entry.getValue().toString()));
    String time = fields.remove(TIME);
    String decision = fields.remove(DECISION);
    String subject = fields.remove(SUBJECT);
    return time == null || decision == null || subject == null
        ? Optional.empty()
        : Optional.of(new DecisionLine(Instant.parse(time), process, decision, subject, fields));
  }

  /** Returns the value of a field; the empty string if the line does not have it. */
  public String field(String name) {
    return fields.getOrDefault(name, "");
  }

  /** Returns the line in human-readable form, with its fields sorted by name. */
  public String text() {
    StringJoiner joiner = new StringJoiner(" ");
    joiner.add(time.toString()).add(process).add(decision).add(subject);
    fields.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(entry -> joiner.add(entry.getKey() + "=" + entry.getValue()));
    return joiner.toString();
  }
}
