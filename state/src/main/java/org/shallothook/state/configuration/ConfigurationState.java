package org.shallothook.state.configuration;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.log.LogRecord;

/**
 * The configuration that is in force at an offset of the configuration stream.
 *
 * <p>Invariant: the state depends only on the records below the offset, so it is the same in every
 * process. Immutable and thread-safe.
 *
 * @param offset offset of the next record to fold; all records below it have been folded
 * @param teams templates in force by team name
 * @param versions latest accepted change of each template, including removed templates
 */
public record ConfigurationState(
    long offset, PMap<String, TeamTemplate> teams, PMap<String, TemplateVersion> versions) {
  /** State before the first record. */
  public static final ConfigurationState EMPTY = new ConfigurationState(0, HashTreePMap.empty());

  /** Creates a state without version information about its templates. */
  public ConfigurationState(long offset, PMap<String, TeamTemplate> teams) {
    this(offset, teams, HashTreePMap.empty());
  }

  /** Returns the template of a team, if there is one. */
  public Optional<TeamTemplate> team(String name) {
    return Optional.ofNullable(teams.get(name));
  }

  /** Returns the templates of all teams by team name. */
  public Map<String, TeamTemplate> allTeams() {
    return teams;
  }

  /** Returns the latest accepted change of a template, if there was any. */
  public Optional<TemplateVersion> version(String template) {
    return Optional.ofNullable(versions.get(template));
  }

  /**
   * Returns the earlier model versions that may serve a team while the version in its template is
   * being loaded, newest first.
   */
  public List<ModelVersion> earlierVersions(String team) {
    return version(team).map(TemplateVersion::earlier).orElse(List.of());
  }

  /**
   * Returns the offset after the latest accepted change. States of the same stream with equal
   * effective offsets have the same templates, because the records after that change did not change
   * any.
   */
  public long effectiveOffset() {
    return versions.values().stream().mapToLong(v -> v.changedAt() + 1).max().orElse(0);
  }

  /**
   * Returns the result of folding the record at the offset of this state. An invalid record only
   * advances the offset.
   *
   * @throws IllegalArgumentException if the record has another offset
   */
  public FoldedRecord fold(LogRecord record) {
    if (record.offset() != offset) {
      throw new IllegalArgumentException(
          "Expected the record at offset " + offset + ", found " + record.offset() + ".");
    }
    Either<ConfigurationError, ConfigurationRecord> content =
        ConfigurationRecordText.read(record.payload());
    if (content.isLeft()) {
      return unchanged(ChangeVerdict.INVALID, "", "", Optional.of(content.getLeft()));
    }
    if (content.get() instanceof ConfigurationRecord.Change change) {
      return foldChange(change);
    }
    if (content.get() instanceof ConfigurationRecord.RolledOut rolledOut) {
      return foldRolledOut(rolledOut);
    }
    return unchanged(ChangeVerdict.SNAPSHOT, content.get().template(), "", Optional.empty());
  }

  /**
   * Returns the parts of a snapshot of this state. They contain the whole state and depend only on
   * its offset.
   */
  public List<ConfigurationRecord.SnapshotPart> snapshot() {
    List<ConfigurationRecord.SnapshotPart> parts = new ArrayList<>();
    if (versions.isEmpty()) {
      parts.add(new ConfigurationRecord.SnapshotPart(offset, 0, 1, "", TemplateVersion.NONE));
      return parts;
    }
    new TreeMap<>(versions)
        .forEach(
            (template, version) ->
                parts.add(
                    new ConfigurationRecord.SnapshotPart(
                        offset, parts.size(), versions.size(), template, version)));
    return parts;
  }

  /**
   * Returns the state that a snapshot contains; empty if a template in it is invalid.
   *
   * @param at offset of the snapshot
   * @param parts all parts of the snapshot
   */
  public static Optional<ConfigurationState> ofSnapshot(
      long at, Iterable<ConfigurationRecord.SnapshotPart> parts) {
    PMap<String, TeamTemplate> teams = HashTreePMap.empty();
    PMap<String, TemplateVersion> versions = HashTreePMap.empty();
    for (ConfigurationRecord.SnapshotPart part : parts) {
      if (part.template().isEmpty()) {
        continue;
      }
      versions = versions.plus(part.template(), part.version());
      if (part.version().source().isPresent()) {
        Either<ConfigurationError, TeamTemplate> team =
            TemplateParser.parse(part.version().source().get());
        if (team.isLeft()) {
          return Optional.empty();
        }
        teams = teams.plus(part.template(), team.get());
      }
    }
    return Optional.of(new ConfigurationState(at, teams, versions));
  }

  /** Returns this state without the prompt texts of all teams. */
  ConfigurationState withoutPromptTexts() {
    ConfigurationState state = this;
    for (String team : teams.keySet()) {
      state = state.withoutPromptTexts(team);
    }
    return state;
  }

  /** Returns this state without the prompt texts of one team. */
  ConfigurationState withoutPromptTexts(String name) {
    return team(name)
        .map(
            team ->
                new ConfigurationState(
                    offset, teams.plus(name, team.withoutPromptTexts()), versions))
        .orElse(this);
  }

  private FoldedRecord foldChange(ConfigurationRecord.Change change) {
    Optional<TemplateVersion> current = version(change.template());
    if (current.isPresent() && current.get().changes().contains(change.change())) {
      return unchanged(
          ChangeVerdict.REPEATED, change.template(), change.change(), Optional.empty());
    }
    if (current.isPresent() && current.get().changedAt() >= change.base()) {
      return reject(ChangeVerdict.CONFLICT, change, conflict(change, current.get()));
    }
    if (change.base() > offset) {
      return reject(ChangeVerdict.INVALID, change, baseAhead(change));
    }
    return change.source().isPresent() ? foldTemplate(change) : foldRemoval(change);
  }

  private FoldedRecord foldTemplate(ConfigurationRecord.Change change) {
    Either<ConfigurationError, TeamTemplate> parsed =
        TemplateParser.parse(change.source().orElseThrow());
    if (parsed.isLeft()) {
      return reject(ChangeVerdict.INVALID, change, parsed.getLeft());
    }
    Optional<ConfigurationError> error =
        findConflictWithOtherTemplates(change.template(), parsed.get());
    if (error.isPresent()) {
      return reject(ChangeVerdict.INVALID, change, error.get());
    }
    List<ModelVersion> earlier =
        team(change.template())
            .map(TeamTemplate::modelVersion)
            .map(from -> earlierVersionsAfter(change.template(), from, parsed.get().modelVersion()))
            .orElse(List.of());
    return accept(change, teams.plus(change.template(), parsed.get()), earlier);
  }

  private List<ModelVersion> earlierVersionsAfter(
      String template, ModelVersion from, ModelVersion to) {
    return version(template)
        .map(version -> version.earlierVersionsAfter(from, to))
        .orElse(List.of());
  }

  private FoldedRecord foldRolledOut(ConfigurationRecord.RolledOut rolledOut) {
    PMap<String, TemplateVersion> next = versions;
    for (Map.Entry<String, TemplateVersion> entry : versions.entrySet()) {
      if (isRolledOut(entry.getKey(), entry.getValue(), rolledOut)) {
        next = next.plus(entry.getKey(), entry.getValue().withoutEarlierVersions());
      }
    }
    ChangeVerdict verdict =
        next.equals(versions) ? ChangeVerdict.REPEATED : ChangeVerdict.ROLLED_OUT;
    ConfigurationState state = new ConfigurationState(offset + 1, teams, next);
    return new FoldedRecord(state, verdict, "", "", Optional.empty());
  }

  private boolean isRolledOut(
      String template, TemplateVersion version, ConfigurationRecord.RolledOut rolledOut) {
    return !version.earlier().isEmpty()
        && version.changedAt() < rolledOut.base()
        && team(template)
            .filter(team -> team.modelVersion().equals(rolledOut.modelVersion()))
            .isPresent();
  }

  private FoldedRecord foldRemoval(ConfigurationRecord.Change change) {
    if (!teams.containsKey(change.template())) {
      return reject(
          ChangeVerdict.INVALID,
          change,
          new ConfigurationError(
              ConfigurationError.Kind.UNKNOWN_TEMPLATE,
              "record",
              "template",
              change.template(),
              "The template to remove does not exist."));
    }
    return accept(change, teams.minus(change.template()), List.of());
  }

  /**
   * Returns why a template that is valid in itself conflicts with its record or with the templates
   * of this state, if it does.
   */
  public Optional<ConfigurationError> findConflictWithOtherTemplates(
      String template, TeamTemplate parsed) {
    if (!parsed.name().equals(template)) {
      return Optional.of(
          new ConfigurationError(
              ConfigurationError.Kind.INVALID_VALUE,
              "team",
              "name",
              parsed.name(),
              "The record names the template '" + template + "'."));
    }
    return teams.values().stream()
        .filter(other -> other.keyDigest().equals(parsed.keyDigest()))
        .filter(other -> !other.name().equals(template))
        .findFirst()
        .map(
            other ->
                new ConfigurationError(
                    ConfigurationError.Kind.DUPLICATE_KEY_DIGEST,
                    "team",
                    "key-sha256",
                    parsed.keyDigest(),
                    "Team '" + other.name() + "' has the same key."));
  }

  private FoldedRecord accept(
      ConfigurationRecord.Change change,
      PMap<String, TeamTemplate> next,
      List<ModelVersion> earlier) {
    TemplateVersion version =
        TemplateVersion.after(
            version(change.template()), offset, change.change(), change.source(), earlier);
    ConfigurationState state =
        new ConfigurationState(offset + 1, next, versions.plus(change.template(), version));
    return new FoldedRecord(
        state, ChangeVerdict.ACCEPTED, change.template(), change.change(), Optional.empty());
  }

  private FoldedRecord reject(
      ChangeVerdict verdict, ConfigurationRecord.Change change, ConfigurationError error) {
    return unchanged(verdict, change.template(), change.change(), Optional.of(error));
  }

  private FoldedRecord unchanged(
      ChangeVerdict verdict, String template, String change, Optional<ConfigurationError> error) {
    ConfigurationState state = new ConfigurationState(offset + 1, teams, versions);
    return new FoldedRecord(state, verdict, template, change, error);
  }

  private static ConfigurationError conflict(
      ConfigurationRecord.Change change, TemplateVersion winner) {
    return new ConfigurationError(
        ConfigurationError.Kind.CONFLICT,
        "record",
        "base",
        Long.toString(change.base()),
        "Change '"
            + winner.latestChange()
            + "' of the same template was accepted at offset "
            + winner.changedAt()
            + ".");
  }

  private ConfigurationError baseAhead(ConfigurationRecord.Change change) {
    return new ConfigurationError(
        ConfigurationError.Kind.INVALID_VALUE,
        "record",
        "base",
        Long.toString(change.base()),
        "The base must not be above the record's own offset, " + offset + ".");
  }
}
