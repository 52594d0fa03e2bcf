package org.shallothook.state.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.shallothook.state.cache.ModelVersion;

/**
 * Latest accepted change of one template.
 *
 * <p>Invariant: a removed template keeps its version, so that a change with an old base is still
 * refused. At most {@link #CHANGES_REMEMBERED} identifiers and {@link #EARLIER_REMEMBERED} earlier
 * model versions are kept; earlier model versions are of the template's own model. Immutable and
 * thread-safe.
 *
 * @param changedAt offset of the record that was accepted
 * @param changes identifiers of the latest accepted changes, newest first
 * @param source INI text of the template; empty once it is removed
 * @param earlier model versions that the template named before, newest first, which may be served
 *     until the present one is loaded everywhere
 */
public record TemplateVersion(
    long changedAt, List<String> changes, Optional<String> source, List<ModelVersion> earlier) {
  /** Number of accepted changes of a template whose repeats are recognised by identifier. */
  public static final int CHANGES_REMEMBERED = 16;

  /** Number of earlier model versions that are remembered while a roll goes on. */
  public static final int EARLIER_REMEMBERED = 3;

  /** Version of no template, for the only part of an empty snapshot. */
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

  /** Returns the version that follows a template's earlier one, if there was any. */
  static TemplateVersion after(
      Optional<TemplateVersion> before,
      long changedAt,
      String change,
      Optional<String> source,
      List<ModelVersion> earlier) {
    List<String> changes = new ArrayList<>();
    changes.add(change);
    before.ifPresent(version -> changes.addAll(version.changes()));
    int kept = Math.min(changes.size(), CHANGES_REMEMBERED);
    return new TemplateVersion(changedAt, changes.subList(0, kept), source, earlier);
  }

  /**
   * Returns the earlier model versions after a change from one model version to another.
   *
   * <p>A version that is named again is no longer an earlier one, and none of another model is
   * kept, because callers name the model.
   */
  List<ModelVersion> earlierAfter(ModelVersion from, ModelVersion to) {
    List<ModelVersion> candidates = new ArrayList<>();
    candidates.add(from);
    candidates.addAll(earlier);
    return candidates.stream()
        .filter(version -> version.model().equals(to.model()))
        .filter(version -> !version.equals(to))
        .distinct()
        .limit(EARLIER_REMEMBERED)
        .toList();
  }

  /** Returns the same version without earlier model versions. */
  TemplateVersion rolledOut() {
    return new TemplateVersion(changedAt, changes, source, List.of());
  }

  /** Returns the identifier of the latest change. */
  public String latestChange() {
    return changes.isEmpty() ? "" : changes.get(0);
  }
}
