package org.shallothook.state.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Latest accepted change of one template.
 *
 * <p>Invariant: a removed template keeps its version, so that a change with an old base is still
 * refused. At most {@link #CHANGES_REMEMBERED} identifiers are kept. Immutable and thread-safe.
 *
 * @param changedAt offset of the record that was accepted
 * @param changes identifiers of the latest accepted changes, newest first
 * @param source INI text of the template; empty once it is removed
 */
public record TemplateVersion(long changedAt, List<String> changes, Optional<String> source) {
  /** Number of accepted changes of a template whose repeats are recognised by identifier. */
  public static final int CHANGES_REMEMBERED = 16;

  /** Version of no template, for the only part of an empty snapshot. */
  static final TemplateVersion NONE = new TemplateVersion(0, List.of(), Optional.empty());

  public TemplateVersion {
    changes = List.copyOf(changes);
    Objects.requireNonNull(source, "source");
  }

  /** Returns the version that follows a template's earlier one, if there was any. */
  static TemplateVersion after(
      Optional<TemplateVersion> earlier, long changedAt, String change, Optional<String> source) {
    List<String> changes = new ArrayList<>();
    changes.add(change);
    earlier.ifPresent(version -> changes.addAll(version.changes()));
    int kept = Math.min(changes.size(), CHANGES_REMEMBERED);
    return new TemplateVersion(changedAt, changes.subList(0, kept), source);
  }

  /** Returns the identifier of the latest change. */
  public String latestChange() {
    return changes.isEmpty() ? "" : changes.get(0);
  }
}
