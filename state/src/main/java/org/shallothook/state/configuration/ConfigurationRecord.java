package org.shallothook.state.configuration;

import java.util.Optional;
import org.shallothook.state.cache.ModelVersion;

/**
 * Content of a record of the configuration stream.
 *
 * <p>All records are immutable and thread-safe.
 */
public sealed interface ConfigurationRecord {

  /** Returns the name of the template that the record is about; empty for none. */
  String template();

  /**
   * Changes one template, or removes it.
   *
   * <p>Accepted only where no other accepted change of the same template has an offset at or above
   * the base.
   *
   * @param change identifier of the change, chosen by the publisher; a repeat has no effect
   * @param base offset below which the publisher knew the configuration
   * @param template name of the template, which is the name of its team
   * @param source INI text of the template; empty to remove it
   */
  record Change(String change, long base, String template, Optional<String> source)
      implements ConfigurationRecord {}

  /**
   * One part of a snapshot: the latest version of one template as of an offset.
   *
   * <p>The parts of a snapshot are a function of its offset alone, so parts written by different
   * processes complete each other.
   *
   * @param at offset below which the snapshot has everything
   * @param part number of this part, from 0
   * @param parts number of parts
   * @param template name of the template; empty in the only part of an empty snapshot
   * @param version latest version of the template
   */
  record SnapshotPart(long at, int part, int parts, String template, TemplateVersion version)
      implements ConfigurationRecord {}

  /**
   * Says that a model version is loaded wherever an earlier one was served, so that templates that
   * name it no longer fall back on their earlier ones.
   *
   * <p>Applies only to templates that were last changed below the base, so that a late record never
   * speaks of a later roll.
   *
   * @param base offset below which the writer knew the configuration
   * @param modelVersion version that is loaded
   */
  record RolledOut(long base, ModelVersion modelVersion) implements ConfigurationRecord {
    @Override
    public String template() {
      return "";
    }
  }
}
