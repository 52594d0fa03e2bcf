package org.shallothook.state.configuration;

import io.vavr.control.Either;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.shallothook.state.cache.ModelVersion;

/**
 * Text format of records of the configuration stream.
 *
 * <p>A record starts with an INI section {@code [record]}. An empty line ends it and is followed by
 * the template, if there is one, exactly as its publisher wrote it.
 *
 * <p>Invariant: a record that is written and read again is equal to the original. Stateless and
 * thread-safe.
 */
public final class ConfigurationRecordText {
  private static final String HEADER_END = "\n\n";
  private static final String SEPARATOR = "/";
  private static final int VERSION_PARTS = 3;

  private ConfigurationRecordText() {}

  /** Returns the text of a record. */
  public static String write(ConfigurationRecord record) {
    if (record instanceof ConfigurationRecord.Change change) {
      String header =
          "[record]\ntype = "
              + (change.source().isPresent() ? "template" : "removal")
              + "\nchange = "
              + change.change()
              + "\nbase = "
              + change.base()
              + "\ntemplate = "
              + change.template();
      return header + HEADER_END + change.source().orElse("");
    }
    if (record instanceof ConfigurationRecord.RolledOut rolledOut) {
      return "[record]\ntype = rolled-out\nbase = "
          + rolledOut.base()
          + "\nmodel-version = "
          + write(rolledOut.modelVersion())
          + HEADER_END;
    }
    ConfigurationRecord.SnapshotPart part = (ConfigurationRecord.SnapshotPart) record;
    String header =
        "[record]\ntype = snapshot\nat = "
            + part.at()
            + "\npart = "
            + part.part()
            + "\nparts = "
            + part.parts();
    if (part.template().isEmpty()) {
      return header + HEADER_END;
    }
    TemplateVersion version = part.version();
    return header
        + "\ntemplate = "
        + part.template()
        + "\nchanged-at = "
        + version.changedAt()
        + "\nchanges = "
        + String.join(" ", version.changes())
        + "\nremoved = "
        + version.source().isEmpty()
        + writeEarlierVersions(version.earlier())
        + HEADER_END
        + version.source().orElse("");
  }

  private static String writeEarlierVersions(List<ModelVersion> earlier) {
    if (earlier.isEmpty()) {
      return "";
    }
    return earlier.stream()
        .map(ConfigurationRecordText::write)
        .collect(Collectors.joining(" ", "\nearlier = ", ""));
  }

  private static String write(ModelVersion version) {
    return Stream.of(version.model(), version.version(), version.adapter())
        .map(part -> URLEncoder.encode(part, StandardCharsets.UTF_8))
        .collect(Collectors.joining(SEPARATOR));
  }

  /** Returns the record, or why the text is not a valid record. */
  public static Either<ConfigurationError, ConfigurationRecord> read(String text) {
    int headerEnd = text.indexOf(HEADER_END);
    String header = headerEnd < 0 ? text : text.substring(0, headerEnd);
    String body = headerEnd < 0 ? "" : text.substring(headerEnd + HEADER_END.length());
    return IniDocument.parse(header)
        .flatMap(
            document -> {
              try {
                return Either.right(read(new IniSection(document, "record"), body));
              } catch (IniSection.InvalidIniException e) {
                return Either.left(e.error());
              }
            });
  }

  private static ConfigurationRecord read(IniSection header, String body) {
    String type = header.required("type");
    ConfigurationRecord record =
        switch (type) {
          case "template" -> change(header, Optional.of(body));
          case "removal" -> change(header, Optional.empty());
          case "snapshot" -> snapshotPart(header, body);
          case "rolled-out" ->
              new ConfigurationRecord.RolledOut(
                  header.requiredNumber("base"),
                  modelVersion(header, "model-version", header.required("model-version")));
          default ->
              throw header.invalid(
                  ConfigurationError.Kind.INVALID_VALUE,
                  "type",
                  type,
                  "Expected template, removal, snapshot or rolled-out.");
        };
    header.requireAllRead();
    return record;
  }

  private static ConfigurationRecord change(IniSection header, Optional<String> source) {
    return new ConfigurationRecord.Change(
        header.name("change"), header.requiredNumber("base"), header.name("template"), source);
  }

  private static ConfigurationRecord snapshotPart(IniSection header, String body) {
    long at = header.requiredNumber("at");
    int parts = header.positive("parts", 1);
    long part = header.requiredNumber("part");
    if (part >= parts) {
      throw header.invalid(
          ConfigurationError.Kind.INVALID_VALUE,
          "part",
          "" + part,
          "Expected a number less than parts.");
    }
    if (header.optional("template").isEmpty()) {
      return new ConfigurationRecord.SnapshotPart(at, (int) part, parts, "", TemplateVersion.NONE);
    }
    Optional<String> source = header.flag("removed", false) ? Optional.empty() : Optional.of(body);
    List<String> changes = List.of(header.required("changes").split(" "));
    TemplateVersion version =
        new TemplateVersion(
            header.requiredNumber("changed-at"), changes, source, earlierVersions(header));
    return new ConfigurationRecord.SnapshotPart(
        at, (int) part, parts, header.name("template"), version);
  }

  private static List<ModelVersion> earlierVersions(IniSection header) {
    String key = "earlier";
    return header
        .optional(key)
        .map(
            value ->
                Arrays.stream(value.split(" "))
                    .map(version -> modelVersion(header, key, version))
                    .toList())
        .orElse(List.of());
  }

  private static ModelVersion modelVersion(IniSection header, String key, String value) {
    List<String> parts = Arrays.asList(value.split(SEPARATOR, -1));
    try {
      if (parts.size() == VERSION_PARTS) {
        return new ModelVersion(decode(parts.get(0)), decode(parts.get(1)), decode(parts.get(2)));
      }
    } catch (IllegalArgumentException e) {
      // Reported below, like a wrong number of parts.
    }
    throw header.invalid(
        ConfigurationError.Kind.INVALID_VALUE, key, value, "Expected model/version/adapter.");
  }

  private static String decode(String part) {
    return URLDecoder.decode(part, StandardCharsets.UTF_8);
  }
}
