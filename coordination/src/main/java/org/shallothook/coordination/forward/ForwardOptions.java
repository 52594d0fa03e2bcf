package org.shallothook.coordination.forward;

import java.util.Objects;
import org.shallothook.coordination.allowance.AllowanceBound;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.DecisionJournal;

/**
 * Settings of a forwarding router.
 *
 * <p>Immutable and thread-safe.
 *
 * @param router name of the router
 * @param timeOfDayMicros time of day when the decision clock is 0, in microseconds since the epoch
 * @param failureDomain failure domain of the router
 * @param retryRatio retries that all routers together may send, as a share of requests to a service
 * @param retrySlack retries that all routers together may send beyond that share
 * @param retryWindowMicros length of the window in which retries are counted, in microseconds
 * @param versionLimitMicros time after a version of weights was set from which on no request may
 *     start on older ones, in microseconds
 * @param settlingMicros time after a start, a pause or an outage of this process for which older
 *     weights may serve in any case, in microseconds
 * @param learnsSpeeds whether placement learns how fast each server is
 * @param quarantineMicros how long a request that crashes servers is refused, in microseconds
 * @param isPaced whether servers that have started or recovered get a window
 * @param allowanceBound how far all routers together may exceed the allowance of a team
 * @param seed seed of the random choices
 * @param counters counters of decisions and latencies
 * @param journal journal that receives one line per decision
 */
public record ForwardOptions(
    String router,
    long timeOfDayMicros,
    String failureDomain,
    double retryRatio,
    double retrySlack,
    long retryWindowMicros,
    long versionLimitMicros,
    long settlingMicros,
    boolean learnsSpeeds,
    long quarantineMicros,
    boolean isPaced,
    AllowanceBound allowanceBound,
    long seed,
    Counters counters,
    DecisionJournal journal) {
  public ForwardOptions {
    Objects.requireNonNull(router, "router");
    Objects.requireNonNull(failureDomain, "failureDomain");
    Objects.requireNonNull(allowanceBound, "allowanceBound");
    Objects.requireNonNull(counters, "counters");
    Objects.requireNonNull(journal, "journal");
  }
}
