package org.shallothook.soak;

import java.nio.file.Path;

/**
 * Options of a run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param seed seed of the random requests and disturbances
 * @param seconds time during which disturbances begin, in seconds
 * @param disturbances what the run is disturbed by
 * @param routers number of routers
 * @param modelServers number of model servers, each with a sidecar
 * @param plainServers number of plain servers, which have no sidecar
 * @param callers number of callers, each with one request at a time
 * @param folder folder for the settings and logs of the processes
 */
record SoakOptions(
    long seed,
    int seconds,
    DisturbanceSet disturbances,
    int routers,
    int modelServers,
    int plainServers,
    int callers,
    Path folder) {}
