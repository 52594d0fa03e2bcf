package org.shallothook.soak;

import java.nio.file.Path;

/**
 * What a run consists of.
 *
 * <p>Immutable and thread-safe.
 *
 * @param seed draws requests and disturbances
 * @param seconds time during which disturbances come
 * @param isCalm whether nothing is disturbed, for measuring
 * @param routers number of routers
 * @param models number of model servers, each with a sidecar
 * @param bookings number of plain servers
 * @param callers number of callers, each with one request at a time
 * @param folder where settings and logs of the processes go
 */
record SoakOptions(
    long seed,
    int seconds,
    boolean isCalm,
    int routers,
    int models,
    int bookings,
    int callers,
    Path folder) {}
