package org.shallothook.coordination.warmup;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongPredicate;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.configuration.TeamTemplate;
import org.shallothook.state.configuration.TemplateParser;
import org.shallothook.state.configuration.TemplateVersion;

/**
 * The openings of one team that moves to a new model version, as one change of its template left
 * them.
 *
 * <p>Invariant: texts and keys are held only of openings that fall to this engine; of the others no
 * more than a hash. Not thread-safe: used on the decision thread.
 */
final class TeamPrefixes {
  private final TemplateVersion version;
  private final ModelVersion earlier;
  private final int blockBytes;
  private final Map<String, Long> hashes = new LinkedHashMap<>();
  private final Map<String, TenantPrefix> own = new HashMap<>();

  TeamPrefixes(TemplateVersion version, ModelVersion earlier, int blockBytes) {
    this.version = version;
    this.earlier = earlier;
    this.blockBytes = blockBytes;
    template().ifPresent(this::rank);
  }

  /** Returns whether these are the openings that a version of the template leads to. */
  boolean isOf(TemplateVersion other) {
    return version.changedAt() == other.changedAt();
  }

  /** Returns the openings whose prompts have their home here. */
  List<TenantPrefix> own(LongPredicate isHome) {
    List<TenantPrefix> found = new ArrayList<>();
    hashes.forEach(
        (tenant, hash) -> {
          if (isHome.test(hash)) {
            found.add(own.computeIfAbsent(tenant, this::build));
          } else {
            own.remove(tenant);
          }
        });
    return found;
  }

  private void rank(TeamTemplate team) {
    Set<String> texts = new HashSet<>();
    List<String> tenants = new ArrayList<>(new TreeMap<>(team.tenants()).keySet());
    if (tenants.isEmpty()) {
      tenants.add("");
    }
    for (String tenant : tenants) {
      TenantPrefix prefix = opening(team, tenant);
      if (texts.add(team.tenantText(tenant).orElse("")) && !prefix.keys().isEmpty()) {
        hashes.put(tenant, prefix.earlierHash());
      }
    }
  }

  private TenantPrefix build(String tenant) {
    return opening(template().orElseThrow(), tenant);
  }

  private TenantPrefix opening(TeamTemplate team, String tenant) {
    return new TenantPrefix(
        team.cacheIdentity(),
        new CacheIdentity(team.name(), earlier),
        TenantPrefixText.of(team, team.tenantText(tenant).orElse("")),
        blockBytes,
        team.priority() == PriorityClass.PRIORITY);
  }

  private Optional<TeamTemplate> template() {
    return version.source().flatMap(source -> TemplateParser.parse(source).toJavaOptional());
  }
}
