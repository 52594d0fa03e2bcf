package org.shallothook.state.configuration;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;

/**
 * Configuration of a team, as published by an operator.
 *
 * <p>Invariant: no component is null; limits are positive. Immutable and thread-safe.
 *
 * @param name name of the team
 * @param keyDigest SHA-256 of the team's API key, in lower-case hexadecimal
 * @param modelVersion model, weights version and adapter that the team uses
 * @param rulebook text with which every prompt of the team begins
 * @param tenants text that follows the rulebook in the prompts of a tenant, by tenant name
 * @param priority priority class of the team's requests
 * @param limits limits on the team's requests
 * @param services services that the team may call, by name
 * @param priorityEngines number of engines of the model in each region that are reserved for
 *     priority work
 */
public record TeamTemplate(
    String name,
    String keyDigest,
    ModelVersion modelVersion,
    String rulebook,
    Map<String, String> tenants,
    PriorityClass priority,
    TeamLimits limits,
    Map<String, ServiceTemplate> services,
    int priorityEngines) {
  public TeamTemplate {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(keyDigest, "keyDigest");
    Objects.requireNonNull(modelVersion, "modelVersion");
    Objects.requireNonNull(rulebook, "rulebook");
    Objects.requireNonNull(priority, "priority");
    Objects.requireNonNull(limits, "limits");
    tenants = Map.copyOf(tenants);
    services = Map.copyOf(services);
    if (priorityEngines < 0) {
      throw new IllegalArgumentException("priorityEngines must not be negative.");
    }
  }

  /** Creates a template that reserves no engines for priority work. */
  public TeamTemplate(
      String name,
      String keyDigest,
      ModelVersion modelVersion,
      String rulebook,
      Map<String, String> tenants,
      PriorityClass priority,
      TeamLimits limits,
      Map<String, ServiceTemplate> services) {
    this(name, keyDigest, modelVersion, rulebook, tenants, priority, limits, services, 0);
  }

  /** Returns the scope within which the team's cached blocks may be reused. */
  public CacheIdentity cacheIdentity() {
    return new CacheIdentity(name, modelVersion);
  }

  /** Returns the template without its prompt texts, for a process that renders no prompts. */
  TeamTemplate withoutPromptTexts() {
    return new TeamTemplate(
        name, keyDigest, modelVersion, "", Map.of(), priority, limits, services, priorityEngines);
  }

  /** Returns the text of a tenant, if the template has the tenant. */
  public Optional<String> tenantText(String tenant) {
    return Optional.ofNullable(tenants.get(tenant));
  }

  /** Returns the service with a name, if the team may call it. */
  public Optional<ServiceTemplate> service(String service) {
    return Optional.ofNullable(services.get(service));
  }
}
