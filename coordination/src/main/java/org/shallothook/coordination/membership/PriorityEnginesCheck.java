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
 * Checks, before a template is published, that the engines it keeps free leave some to ordinary
 * work.
 *
 * <p>The engines known here are a matter of the moment, so what is in force is not judged by them:
 * {@code RoleAssignment} leaves an engine to ordinary work whatever was published.
 *
 * <p>Not thread-safe: used on the decision thread.
 */
public final class PriorityEnginesCheck {
  private final UpstreamDirectory directory;

  /** Creates a check against the engines of a directory. */
  public PriorityEnginesCheck(UpstreamDirectory directory) {
    this.directory = directory;
  }

  /** Returns why the engines that a template keeps free cannot be spared, if so. */
  public Optional<ConfigurationError> faultOf(TeamTemplate template) {
    if (template.priorityEngines() == 0) {
      return Optional.empty();
    }
    Map<String, Long> counts = enginesByRegion(template.modelVersion());
    if (counts.isEmpty()) {
      return Optional.of(fault(template, "No engine is known here."));
    }
    return counts.entrySet().stream()
        .filter(region -> region.getValue() <= template.priorityEngines())
        .findFirst()
        .map(region -> fault(template, tooFew(region.getKey(), region.getValue(), template)));
  }

  /** Counts the engines that have the model; all of them while none has it. */
  private Map<String, Long> enginesByRegion(ModelVersion model) {
    List<Upstream> engines =
        directory.all().stream()
            .filter(one -> one.instance().role() == InstanceRole.MODEL_ENGINE && !one.isLeaving())
            .toList();
    List<Upstream> holders = engines.stream().filter(one -> one.hasModel(model)).toList();
    return (holders.isEmpty() ? engines : holders)
        .stream()
            .collect(
                Collectors.groupingBy(
                    one -> one.instance().region(), TreeMap::new, Collectors.counting()));
  }

  private static String tooFew(String region, long engines, TeamTemplate template) {
    return "Region '%s' has %d engines with model '%s', and one must be left to ordinary work."
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
