package org.shallothook.benchmarks.demo;

import java.util.List;

/**
 * What a client of an example deployment needs to know.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name name of the deployment
 * @param routers routers with their addresses
 * @param teams teams with their keys
 * @param services names of the plain services
 * @param upstreams upstreams with the addresses to watch and control them
 */
public record ExampleDeployment(
    String name,
    List<Router> routers,
    List<Team> teams,
    List<String> services,
    List<Upstream> upstreams) {
  public ExampleDeployment {
    routers = List.copyOf(routers);
    teams = List.copyOf(teams);
    services = List.copyOf(services);
    upstreams = List.copyOf(upstreams);
  }

  /**
   * A router.
   *
   * @param name name of the instance
   * @param callers address for callers, {@code IP:port}
   * @param admin address for operators, {@code IP:port}
   */
  public record Router(String name, String callers, String admin) {}

  /**
   * A team.
   *
   * @param name name of the team
   * @param key key that its callers send
   * @param model model that it uses
   * @param tenants tenants of the team
   */
  public record Team(String name, String key, String model, List<String> tenants) {
    public Team {
      tenants = List.copyOf(tenants);
    }
  }

  /**
   * An upstream.
   *
   * @param name name of the instance
   * @param role role as in its sidecar's settings
   * @param admin address of its sidecar for operators, {@code IP:port}
   * @param control address of its stand-in, {@code IP:port}
   * @param peers address of its sidecar for routers, {@code IP:port}
   */
  public record Upstream(String name, String role, String admin, String control, String peers) {}
}
