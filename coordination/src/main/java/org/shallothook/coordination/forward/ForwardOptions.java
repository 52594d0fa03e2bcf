package org.shallothook.coordination.forward;

import java.util.Objects;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.DecisionJournal;

/**
 * Settings of a forwarding router.
 *
 * <p>Immutable and thread-safe.
 *
 * @param failureDomain failure domain of the router
 * @param retryRatio retries allowed to all routers together, as a share of requests to a service
 * @param retrySlack retries allowed to all routers together beyond that share
 * @param retryWindowMicros length of the window in which retries are counted, in microseconds
 * @param versionDeadlineMicros time after which no request may begin on older weights
 * @param quarantineMicros how long a request that crashes servers is refused
 * @param seed seed of random choices
 * @param counters counts decisions
 * @param journal takes a line for each decision
 */
public record ForwardOptions(
    String failureDomain,
    double retryRatio,
    double retrySlack,
    long retryWindowMicros,
    long versionDeadlineMicros,
    long quarantineMicros,
    long seed,
    Counters counters,
    DecisionJournal journal) {
  public ForwardOptions {
    Objects.requireNonNull(failureDomain, "failureDomain");
    Objects.requireNonNull(counters, "counters");
    Objects.requireNonNull(journal, "journal");
  }
}
