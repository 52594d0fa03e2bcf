package org.shallothook.state.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.shallothook.state.cache.ModelVersion;

/**
 * The latest accepted change of a template.
 *
 * <p>Invariants: a removed template keeps its version, so that a change with an old base is still
 * rejected. At most {@link #MAXIMUM_CHANGES} identifiers and {@link #MAXIMUM_EARLIER_VERSIONS}
 * earlier model versions are kept. Earlier model versions have the same model as the template.
 * Immutable and thread-safe.
 *
 * @param changedAt offset of the record of that change
 * @param changes identifiers of the latest accepted changes, newest first
 * @param source INI text of the template; empty once it is removed
 * @param earlier earlier model versions, newest first, which may be served until the current one is
 *     loaded everywhere
 */
public record TemplateVersion(
    long changedAt, List<String> changes, Optional<String> source, List<ModelVersion> earlier) {
  /**
   * Maximum number of accepted changes of a template whose identifiers are kept to detect repeats.
   */
  public static final int MAXIMUM_CHANGES = 16;

  /** Maximum number of earlier model versions that are kept during a rollout. */
  public static final int MAXIMUM_EARLIER_VERSIONS = 3;

  /** Placeholder for the only part of an empty snapshot, which has no template. */
  static final TemplateVersion NONE =
      new TemplateVersion(0, List.of(), Optional.empty(), List.of());

  public TemplateVersion {
    changes = List.copyOf(changes);
    Objects.requireNonNull(source, "source");
    earlier = List.copyOf(earlier);
  }

  /** Creates a version without earlier model versions. */
  public TemplateVersion(long changedAt, List<String> changes, Optional<String> source) {
    this(changedAt, changes, source, List.of());
  }

  /** Returns the version after a change of a template whose previous version may be absent. */
  static TemplateVersion after(
      Optional<TemplateVersion> before,
      long changedAt,
      String change,
      Optional<String> source,
      List<ModelVersion> earlier) {
    List<String> changes = new ArrayList<>();
    changes.add(change);
    before.ifPresent(version -> changes.addAll(version.changes()));
    int keptChanges = Math.min(changes.size(), MAXIMUM_CHANGES);
    return new TemplateVersion(changedAt, changes.subList(0, keptChanges), source, earlier);
  }

  /**
   * Returns the earlier model versions after a change from one model version to another.
   *
   * <p>The new version is removed from the earlier ones. Versions of other models are removed too,
   * because callers select the model by name.
   */
  List<ModelVersion> earlierVersionsAfter(ModelVersion from, ModelVersion to) {
    List<ModelVersion> candidates = new ArrayList<>();
    candidates.add(from);
    candidates.addAll(earlier);
    return candidates.stream()
        .filter(version -> version.model().equals(to.model()))
        .filter(version -> !version.equals(to))
        .distinct()
        .limit(MAXIMUM_EARLIER_VERSIONS)
        .toList();
  }

  /** Returns this version without its earlier model versions. */
  TemplateVersion withoutEarlierVersions() {
    return new TemplateVersion(changedAt, changes, source, List.of());
  }

  /** Returns the identifier of the latest accepted change; empty if there is none. */
  public String latestChange() {
    return changes.isEmpty() ? "" : changes.get(0);
  }
}
