package org.shallothook.coordination.router;

import java.lang.ref.WeakReference;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.shallothook.coordination.port.Counters;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.configuration.TeamTemplate;

/**
 * Keeps the openings of prompts that were used last.
 *
 * <p>Each belongs to the template that it was computed from and is computed anew for another one.
 * The template is held weakly, so its texts do not outlive the configuration that names them.
 *
 * <p>Invariant: at most the given number of openings is kept. Not thread-safe.
 */
final class TenantPrefixCache {
  private static final float LOAD_FACTOR = 0.75f;

  private final Map<Key, Entry> prefixes;
  private final Counters counters;

  /**
   * Creates an empty cache.
   *
   * @param maximumOpenings greatest number of openings kept, positive
   * @param counters counts the openings that had to be computed
   */
  TenantPrefixCache(int maximumOpenings, Counters counters) {
    this.counters = counters;
    this.prefixes =
        new LinkedHashMap<>(maximumOpenings, LOAD_FACTOR, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<Key, Entry> eldest) {
            return size() > maximumOpenings;
          }
        };
  }

  /** Returns the opening of a tenant's prompts, computed where it is not kept. */
  HashedTenantPrefix get(
      TeamTemplate template,
      CacheIdentity identity,
      String tenant,
      Supplier<HashedTenantPrefix> compute) {
    Key key = new Key(identity, tenant);
    Entry kept = prefixes.get(key);
    if (kept != null && kept.template().refersTo(template)) {
      return kept.prefix();
    }
    counters.increment("prompts.openings-computed");
    HashedTenantPrefix computed = compute.get();
    prefixes.put(key, new Entry(new WeakReference<>(template), computed));
    return computed;
  }

  private record Key(CacheIdentity identity, String tenant) {}

  private record Entry(WeakReference<TeamTemplate> template, HashedTenantPrefix prefix) {}
}
