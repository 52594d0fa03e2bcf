package org.shallothook.state.configuration;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;

/**
 * Sections, keys and values of an INI text, with values preserved exactly.
 *
 * <p>A value is everything after the first equals sign, without leading and trailing blanks. A pair
 * of double quotes around the whole value is removed and preserves the blanks within. Comments must
 * be on lines of their own.
 *
 * <p>Invariant: the values of a repeated key are in the order of the text. Immutable and
 * thread-safe.
 */
final class IniDocument {
  private static final char GUARD = '|';

  private final Map<String, Map<String, List<String>>> sections;

  private IniDocument(Map<String, Map<String, List<String>>> sections) {
    this.sections = sections;
  }

  static Either<ConfigurationError, IniDocument> parse(String text) {
    INIConfiguration reader = new INIConfiguration();
    reader.setSeparatorUsedInInput("=");
    reader.setCommentLeadingCharsUsedInInput("");
    try {
      reader.read(new StringReader(guardValues(text)));
    } catch (ConfigurationException | IOException | RuntimeException e) {
      return Either.left(
          new ConfigurationError(
              ConfigurationError.Kind.UNREADABLE, "", "", "", "The text is not INI."));
    }
    Map<String, Map<String, List<String>>> sections = new LinkedHashMap<>();
    for (ImmutableNode node : reader.getNodeModel().getNodeHandler().getRootNode().getChildren()) {
      collectValues(node, sections);
    }
    return Either.right(new IniDocument(sections));
  }

  Iterable<String> sectionNames() {
    return sections.keySet();
  }

  boolean hasSection(String section) {
    return sections.containsKey(section);
  }

  /** Returns the values of each key of a section; empty if there is no such section. */
  Map<String, List<String>> section(String section) {
    return sections.getOrDefault(section, Map.of());
  }

  /**
   * Adds a guard character at both ends of each value, because the INI reader would interpret
   * quotes and blanks at the ends of a value, and a backslash at its end, as syntax.
   */
  private static String guardValues(String text) {
    StringBuilder guarded = new StringBuilder(text.length() + text.length() / 8);
    text.lines().forEach(line -> appendGuarded(guarded, line.strip()));
    return guarded.toString();
  }

  private static void appendGuarded(StringBuilder guarded, String line) {
    if (line.isEmpty() || line.startsWith("#") || line.startsWith(";")) {
      return;
    }
    int separator = line.startsWith("[") ? -1 : line.indexOf('=');
    if (separator < 0) {
      guarded.append(line).append('\n');
      return;
    }
    String value = withoutOuterQuotes(line.substring(separator + 1).strip());
    guarded.append(line, 0, separator).append('=');
    guarded.append(GUARD).append(value).append(GUARD).append('\n');
  }

  private static String unguarded(Object value) {
    String text = String.valueOf(value);
    return text.length() < 2 ? "" : text.substring(1, text.length() - 1);
  }

  private static String withoutOuterQuotes(String value) {
    boolean isQuoted = value.length() >= 2 && value.startsWith("\"") && value.endsWith("\"");
    return isQuoted ? value.substring(1, value.length() - 1) : value;
  }

  private static void collectValues(
      ImmutableNode node, Map<String, Map<String, List<String>>> sections) {
    if (node.getValue() != null) {
      String value = unguarded(node.getValue());
      sections
          .computeIfAbsent("", name -> new LinkedHashMap<>())
          .computeIfAbsent(String.valueOf(node.getNodeName()), key -> new ArrayList<>())
          .add(value);
      return;
    }
    Map<String, List<String>> section =
        sections.computeIfAbsent(
            String.valueOf(node.getNodeName()).strip(), name -> new LinkedHashMap<>());
    for (ImmutableNode key : node.getChildren()) {
      section
          .computeIfAbsent(key.getNodeName(), name -> new ArrayList<>())
          .add(unguarded(key.getValue()));
    }
  }
}
