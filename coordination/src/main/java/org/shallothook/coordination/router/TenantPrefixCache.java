package org.shallothook.coordination.router;

import java.lang.ref.WeakReference;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.shallothook.coordination.port.Counters;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.configuration.TeamTemplate;

/**
 * LRU cache of the hashed prefixes of tenants' prompts.
 *
 * <p>An entry is valid for the template that it was computed from, and is recomputed when the
 * template changes. Templates are referenced weakly, so that the cache does not keep the texts of
 * old configurations in memory.
 *
 * <p>Invariant: holds at most the given number of prefixes. Not thread-safe.
 */
final class TenantPrefixCache {
  private static final float LOAD_FACTOR = 0.75f;

  private final Map<Key, Entry> prefixes;
  private final Counters counters;

  /**
   * Creates an empty cache.
   *
   * @param maximumPrefixes maximum number of cached prefixes, positive
   * @param counters receives the count of computed prefixes
   */
  TenantPrefixCache(int maximumPrefixes, Counters counters) {
    this.counters = counters;
    this.prefixes =
        new LinkedHashMap<>(maximumPrefixes, LOAD_FACTOR, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<Key, Entry> eldest) {
            return size() > maximumPrefixes;
          }
        };
  }

  /** Returns the prefix of a tenant's prompts, computing it if it is not cached. */
  HashedTenantPrefix get(
      TeamTemplate template,
      CacheIdentity identity,
      String tenant,
      Supplier<HashedTenantPrefix> compute) {
    Key key = new Key(identity, tenant);
    Entry cached = prefixes.get(key);
    if (cached != null && cached.template().refersTo(template)) {
      return cached.prefix();
    }
    counters.increment("prompts.openings-computed");
    HashedTenantPrefix computed = compute.get();
    prefixes.put(key, new Entry(new WeakReference<>(template), computed));
    return computed;
  }

  private record Key(CacheIdentity identity, String tenant) {}

  private record Entry(WeakReference<TeamTemplate> template, HashedTenantPrefix prefix) {}
}
