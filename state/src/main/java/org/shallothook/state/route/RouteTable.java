package org.shallothook.state.route;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.shallothook.state.route.ServiceTraits.CacheStore;

/**
 * Routes, services, teams and limits of one version of the forwarding configuration.
 *
 * <p>API keys are looked up by their digests, so that the time of a lookup reveals nothing about a
 * key.
 *
 * <p>Invariant: of all routes that match a request, the one with the longest path prefix is chosen.
 * Immutable and thread-safe.
 */
public final class RouteTable {
  private final long version;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, ServiceTraits> services = new HashMap<>();
  private final Map<String, CallerTeam> teamsByDigest = new HashMap<>();
  private final Map<String, TeamAllowance> allowances = new HashMap<>();
  private final CacheScopes cacheScopes;
  private final boolean needsKeys;
  private final CallerLimits limits;

  /**
   * Creates a table.
   *
   * @param version version of the configuration
   * @param routes all routes
   * @param services all services
   * @param teams all teams; empty if no request needs an API key
   * @param limits limits on the requests of callers
   */
  public RouteTable(
      long version,
      List<Route> routes,
      List<ServiceTraits> services,
      Optional<List<CallerTeam>> teams,
      CallerLimits limits) {
    this.version = version;
    this.limits = limits;
    this.needsKeys = teams.isPresent();
    for (Route route : routes) {
      routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    Comparator<Route> longestFirst = Comparator.comparingInt(route -> -route.pathPrefix().length());
    routesByHost.values().forEach(list -> list.sort(longestFirst));
    services.forEach(service -> this.services.put(service.name(), service));
    this.cacheScopes = new CacheScopes(teams.orElse(List.of()));
    for (CallerTeam team : teams.orElse(List.of())) {
      team.keys().forEach(key -> teamsByDigest.put(Digests.hexOf(key), team));
      team.allowance().ifPresent(allowance -> allowances.put(team.name(), allowance));
    }
  }

  /** Returns the version of the configuration. */
  public long version() {
    return version;
  }

  /** Returns the limits on the requests of callers. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns whether requests for routes that are not public need an API key. */
  public boolean needsKeys() {
    return needsKeys;
  }

  /**
   * Returns the route with the longest path prefix that matches a request, if there is one.
   *
   * @param host host as sent by the caller, with or without a port
   * @param target path, with or without a query
   */
  public Optional<Route> match(String host, String target) {
    int query = target.indexOf('?');
    String path = query < 0 ? target : target.substring(0, query);
    for (Route route : routesByHost.getOrDefault(hostName(host), List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns the team to which an API key belongs, if there is one. */
  public Optional<CallerTeam> teamOf(String key) {
    return Optional.ofNullable(teamsByDigest.get(Digests.hexOf(key)));
  }

  /** Returns the allowances of the teams that have one, by team. */
  public Map<String, TeamAllowance> allowances() {
    return Collections.unmodifiableMap(allowances);
  }

  /**
   * Returns the scope in which cached parts of a prompt may be shared, without the version of the
   * weights. Parts that a team made before it became isolated lie in another scope than any that
   * this configuration gives to other callers.
   *
   * @param model model that reads the prompt
   * @param team team of the caller, of an earlier configuration if this one does not have it
   */
  public String cacheScope(String model, Optional<CallerTeam> team) {
    return cacheScopes.scopeOf(model, team);
  }

  /**
   * Returns the scope of the cached parts of a request that must share them with no other, or empty
   * if the servers of its service are known to have none.
   *
   * @param service service that the request is for
   * @param request identifier that the caller gave to the request
   * @param team team of the caller, if it has one
   */
  public Optional<String> unsharedCacheScope(
      String service, String request, Optional<CallerTeam> team) {
    boolean isPlain = service(service).filter(traits -> traits.engine().isEmpty()).isPresent();
    return isPlain ? Optional.empty() : Optional.of(cacheScopes.scopeOfRequest(request, team));
  }

  /**
   * Returns the longest time for which a stream may be resumed, in microseconds; 0 if there is no
   * route whose streams may be.
   */
  public long longestResumableMicros() {
    return resumableRoutes().mapToLong(Route::timeoutMicros).max().orElse(0);
  }

  /** Returns the services whose streams may be resumed. */
  public Set<String> resumableServices() {
    return resumableRoutes()
        .flatMap(route -> route.destinations().stream())
        .map(Route.Destination::service)
        .collect(Collectors.toUnmodifiableSet());
  }

  private Stream<Route> resumableRoutes() {
    return routesByHost.values().stream().flatMap(List::stream).filter(Route::isResumable);
  }

  /** Returns the settings of a service, if it is configured. */
  public Optional<ServiceTraits> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns a shared store of cached prompt parts, preferably one in the given failure domain. */
  public Optional<CacheStore> cacheStore(String failureDomain) {
    return services.values().stream()
        .flatMap(service -> service.cacheStore().stream())
        .min(
            Comparator.comparing(
                (CacheStore store) -> !store.failureDomain().equals(failureDomain)));
  }

  private static String hostName(String host) {
    int colon = host.lastIndexOf(':');
    boolean hasPort = colon > 0 && host.indexOf(']', colon) < 0;
    return (hasPort ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
  }
}
