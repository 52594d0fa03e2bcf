package org.shallothook.state.configuration;

import java.util.Optional;
import org.shallothook.state.cache.ModelVersion;

/**
 * Content of a record of the configuration stream.
 *
 * <p>All records are immutable and thread-safe.
 */
public sealed interface ConfigurationRecord {

  /** Returns the name of the template that the record concerns; empty if it concerns none. */
  String template();

  /**
   * Changes one template, or removes it.
   *
   * <p>The change is accepted only if no other change of the same template was accepted at an
   * offset at or above the base.
   *
   * @param change identifier of the change, chosen by the publisher; a second record with the same
   *     identifier has no effect
   * @param base offset below which the publisher had read the whole stream
   * @param template name of the template, which is the name of its team
   * @param source INI text of the template; empty to remove it
   */
  record Change(String change, long base, String template, Optional<String> source)
      implements ConfigurationRecord {}

  /**
   * One part of a snapshot: the latest version of one template as of an offset.
   *
   * <p>The parts of a snapshot depend only on its offset, so parts written by different processes
   * can be combined.
   *
   * @param at offset below which the snapshot includes every record
   * @param part number of this part, from 0
   * @param parts number of parts
   * @param template name of the template; empty in the only part of an empty snapshot
   * @param version latest version of the template
   */
  record SnapshotPart(long at, int part, int parts, String template, TemplateVersion version)
      implements ConfigurationRecord {}

  /**
   * Records that a model version is loaded wherever an earlier one was served, so that templates
   * with this version no longer fall back to earlier ones.
   *
   * <p>Applies only to templates that were last changed below the base, so that a late record does
   * not affect a later rollout.
   *
   * @param base offset below which the writer had read the whole stream
   * @param modelVersion version that is loaded
   */
  record RolledOut(long base, ModelVersion modelVersion) implements ConfigurationRecord {
    @Override
    public String template() {
      return "";
    }
  }
}
