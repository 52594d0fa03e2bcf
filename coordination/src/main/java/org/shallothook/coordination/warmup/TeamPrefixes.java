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
 * The tenant prefixes of one team that moves to a new model version, derived from one version of
 * its template.
 *
 * <p>Invariant: texts and keys are kept only for prefixes whose home is this engine; for the others
 * only a hash is kept. Not thread-safe: used on the decision thread.
 */
final class TeamPrefixes {
  private final TemplateVersion version;
  private final ModelVersion earlierVersion;
  private final int blockBytes;
  private final Map<String, Long> earlierHashes = new LinkedHashMap<>();
  private final Map<String, TenantPrefix> homePrefixes = new HashMap<>();

  TeamPrefixes(TemplateVersion version, ModelVersion earlier, int blockBytes) {
    this.version = version;
    this.earlierVersion = earlier;
    this.blockBytes = blockBytes;
    template().ifPresent(this::hashPrefixes);
  }

  /** Returns whether these prefixes were derived from the given version of the template. */
  boolean isOfVersion(TemplateVersion other) {
    return version.changedAt() == other.changedAt();
  }

  /**
   * Returns the prefixes whose home is this engine, and drops the texts of the others.
   *
   * @param isHome whether this engine is the home of a hash
   */
  List<TenantPrefix> homePrefixes(LongPredicate isHome) {
    List<TenantPrefix> found = new ArrayList<>();
    earlierHashes.forEach(
        (tenant, hash) -> {
          if (isHome.test(hash)) {
            found.add(homePrefixes.computeIfAbsent(tenant, this::buildPrefix));
          } else {
            homePrefixes.remove(tenant);
          }
        });
    return found;
  }

  /** Hashes the prefix of each tenant; of tenants with the same text only the first counts. */
  private void hashPrefixes(TeamTemplate team) {
    Set<String> texts = new HashSet<>();
    List<String> tenants = new ArrayList<>(new TreeMap<>(team.tenants()).keySet());
    if (tenants.isEmpty()) {
      tenants.add("");
    }
    for (String tenant : tenants) {
      TenantPrefix prefix = prefixOf(team, tenant);
      if (texts.add(team.tenantText(tenant).orElse("")) && !prefix.keys().isEmpty()) {
        earlierHashes.put(tenant, prefix.earlierHash());
      }
    }
  }

  private TenantPrefix buildPrefix(String tenant) {
    return prefixOf(template().orElseThrow(), tenant);
  }

  private TenantPrefix prefixOf(TeamTemplate team, String tenant) {
    return new TenantPrefix(
        team.cacheIdentity(),
        new CacheIdentity(team.name(), earlierVersion),
        TenantPrefixText.of(team, team.tenantText(tenant).orElse("")),
        blockBytes,
        team.priority() == PriorityClass.PRIORITY);
  }

  private Optional<TeamTemplate> template() {
    return version.source().flatMap(source -> TemplateParser.parse(source).toJavaOptional());
  }
}
