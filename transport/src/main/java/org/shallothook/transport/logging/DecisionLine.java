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
 * One line of a decision log, read back.
 *
 * <p>Immutable and thread-safe.
 *
 * @param time time of the decision by the clock of its process
 * @param process name of the log that the line stands in
 * @param decision code of the decision
 * @param subject identity of the request, or of what a belief is about
 * @param fields all other fields in their order
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
   * Reads a line; what collectors of logs have put before the object is left out.
   *
   * @param process name of the log
   * @param text the line
   * @return the decision; empty for a line of another kind
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
      // Other programs write to the same logs; a line that is no decision says nothing here.
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

  /** Returns a field's value; empty text where the line has none. */
  public String field(String name) {
    return fields.getOrDefault(name, "");
  }

  /** Returns the line in the form shown to people. */
  public String text() {
    StringJoiner shown = new StringJoiner(" ");
    shown.add(time.toString()).add(process).add(decision).add(subject);
    fields.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(entry -> shown.add(entry.getKey() + "=" + entry.getValue()));
    return shown.toString();
  }
}
