package org.shallothook.coordination.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.ConfigurationError;
import org.shallothook.state.configuration.TeamTemplate;
import org.shallothook.state.membership.InstanceRole;

/**
 * Checks, before a template is published, that the engines it reserves for priority work leave some
 * for ordinary work.
 *
 * <p>The set of known engines changes over time, so templates already in force are not checked
 * against it: {@code RoleAssignment} always leaves an engine for ordinary work, whatever was
 * published.
 *
 * <p>Not thread-safe: used on the decision thread.
 */
public final class PriorityEnginesCheck {
  private final UpstreamDirectory directory;

  /** Creates a check against the engines of a directory. */
  public PriorityEnginesCheck(UpstreamDirectory directory) {
    this.directory = directory;
  }

  /**
   * Returns the error if a template reserves more engines than can be spared in any region, or no
   * engine is known.
   */
  public Optional<ConfigurationError> check(TeamTemplate template) {
    if (template.priorityEngines() == 0) {
      return Optional.empty();
    }
    Map<String, Long> counts = enginesByRegion(template.modelVersion());
    if (counts.isEmpty()) {
      return Optional.of(fault(template, "This router knows of no engine."));
    }
    return counts.entrySet().stream()
        .filter(region -> region.getValue() <= template.priorityEngines())
        .findFirst()
        .map(
            region -> fault(template, tooFewEngines(region.getKey(), region.getValue(), template)));
  }

  /**
   * Counts, for each region, the engines that have the model; counts all engines while none has it.
   */
  private Map<String, Long> enginesByRegion(ModelVersion model) {
    List<Upstream> engines =
        directory.all().stream()
            .filter(
                upstream ->
                    upstream.instance().role() == InstanceRole.MODEL_ENGINE
                        && !upstream.isLeaving())
            .toList();
    List<Upstream> enginesWithModel =
        engines.stream().filter(engine -> engine.hasModel(model)).toList();
    return (enginesWithModel.isEmpty() ? engines : enginesWithModel)
        .stream()
            .collect(
                Collectors.groupingBy(
                    engine -> engine.instance().region(), TreeMap::new, Collectors.counting()));
  }

  private static String tooFewEngines(String region, long engines, TeamTemplate template) {
    return "Region '%s' has %d engines with model '%s', and one must be left for ordinary work."
        .formatted(region, engines, template.modelVersion().model());
  }

  private static ConfigurationError fault(TeamTemplate template, String detail) {
    return new ConfigurationError(
        ConfigurationError.Kind.TOO_FEW_ENGINES,
        "team",
        "priority-engines",
        Integer.toString(template.priorityEngines()),
        detail);
  }
}
