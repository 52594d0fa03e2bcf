package org.shallothook.benchmarks.demo;

import java.util.List;

/**
 * Addresses of a running demonstration, in the form that is written as JSON.
 *
 * <p>Immutable and thread-safe.
 *
 * @param routers addresses for callers, {@code IP:port}
 * @param admin addresses of the routers for operators, in the same order
 * @param teams teams with their keys
 * @param services names of the plain services
 * @param upstreams upstreams with the addresses to watch and control them
 */
record Endpoints(
    List<String> routers,
    List<String> admin,
    List<ExampleDeployment.Team> teams,
    List<String> services,
    List<ExampleDeployment.Upstream> upstreams) {}
