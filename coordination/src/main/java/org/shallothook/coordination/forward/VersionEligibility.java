package org.shallothook.coordination.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothook.state.log.WrittenTime;
import org.shallothook.state.route.WeightVersion;

/**
 * Tracks the desired versions of weights and decides which servers may start a request.
 *
 * <p>Handles rollouts of weights: servers are updated a few at a time and start with an empty cache
 * afterwards. Outdated servers stay eligible until the deadline, with a penalty on their expected
 * time, so that they get the requests that would be late at the updated ones.
 *
 * <p>Each version has its own deadline, also if a newer version became the desired one since. It
 * counts from the earliest time at which operators may have set the version, so that a router that
 * learns late of it, after a start, a pause or an outage, allows older weights for no longer than
 * the others. Such a router is not yet expected to keep the limit for a short time, in which older
 * weights may serve while the servers are updated.
 *
 * <p>Invariant: the desired version of a model never decreases. Not thread-safe.
 */
final class VersionEligibility {
  /**
   * Time after a new version during which responses of older weights are still worth about as much,
   * in microseconds.
   */
  private static final long GRACE_MICROS = 1_200_000;

  /**
   * Time after the deadline within which a request that was sent before it may still start, in
   * microseconds.
   */
  private static final long LATE_START_MICROS = 1_000_000;

  /**
   * Penalty for a server with older weights, as a share of the request's shortest target. Responses
   * of older weights are worth more than late ones, so the penalty must not outweigh that of a
   * server where long prompts interrupt streams.
   */
  private static final double OUTDATED_PENALTY_SHARE = 0.25;

  private final long limitMicros;
  private final long settlingMicros;
  private final Map<String, List<DesiredVersion>> versionsByModel = new HashMap<>();

  /**
   * A version and what it means for servers with an older one.
   *
   * @param penaltyFromMicros when they begin to have a penalty
   * @param deadlineMicros from when on they may start no request
   */
  private record DesiredVersion(long version, long penaltyFromMicros, long deadlineMicros) {}

  /**
   * Creates an instance that knows no versions.
   *
   * @param limitMicros time after a version was set for which older weights may serve, in
   *     microseconds
   * @param settlingMicros time after the end of a disruption of this process for which older
   *     weights may serve in any case, in microseconds
   */
  VersionEligibility(long limitMicros, long settlingMicros) {
    this.limitMicros = limitMicros;
    this.settlingMicros = settlingMicros;
  }

  /**
   * Records a desired version and returns whether it is newer than the known one.
   *
   * @param written what is known of the time at which operators have set it
   */
  boolean onDesiredVersion(WeightVersion desired, WrittenTime written, long nowMicros) {
    if (desiredVersion(desired.model()).filter(known -> known >= desired.version()).isPresent()) {
      return false;
    }
    List<DesiredVersion> versions =
        versionsByModel.computeIfAbsent(desired.model(), model -> new ArrayList<>());
    long settledMicros = written.disruptedUntilMicros() + settlingMicros;
    versions.add(
        new DesiredVersion(
            desired.version(),
            written.afterMicros().map(micros -> micros + GRACE_MICROS).orElse(nowMicros),
            written
                .afterMicros()
                .map(micros -> Math.max(micros + limitMicros, settledMicros))
                .orElse(settledMicros)));
    // Of the versions past their deadline only the newest matters.
    while (versions.size() > 1 && isPastDeadline(versions.get(1), nowMicros)) {
      versions.remove(0);
    }
    return true;
  }

  /** Returns the desired version of a model's weights. */
  Optional<Long> desiredVersion(String model) {
    return newest(model).map(DesiredVersion::version);
  }

  private Optional<DesiredVersion> newest(String model) {
    List<DesiredVersion> versions = versionsByModel.getOrDefault(model, List.of());
    return versions.isEmpty() ? Optional.empty() : Optional.of(versions.get(versions.size() - 1));
  }

  private static boolean isPastDeadline(DesiredVersion version, long nowMicros) {
    return nowMicros >= version.deadlineMicros();
  }

  /**
   * Returns whether a request that was sent to a server with a version of the weights, and has not
   * started there, must no longer start.
   */
  boolean isOverdue(String model, long version, long nowMicros) {
    return version < oldestAllowed(model, nowMicros - LATE_START_MICROS);
  }

  /** Returns the oldest version on which a request may still start. */
  private long oldestAllowed(String model, long nowMicros) {
    return versionsByModel.getOrDefault(model, List.of()).stream()
        .filter(version -> isPastDeadline(version, nowMicros))
        .mapToLong(DesiredVersion::version)
        .max()
        .orElse(0);
  }

  /** Returns the servers that may start a request for a model now. */
  List<Server> eligible(List<Server> servers, String model, long nowMicros) {
    Optional<DesiredVersion> desired = newest(model);
    if (desired.isEmpty()) {
      return servers;
    }
    long oldest = oldestAllowed(model, nowMicros);
    return servers.stream().filter(server -> server.version(model).orElse(0L) >= oldest).toList();
  }

  /**
   * Returns the penalty for a server's outdated weights, in microseconds; 0 if they are current.
   *
   * @param targetMicros shortest target of the request, in microseconds
   */
  double outdatedPenaltyMicros(Server server, String model, long targetMicros, long nowMicros) {
    boolean isOutdated =
        newest(model)
            .filter(desired -> nowMicros >= desired.penaltyFromMicros())
            .filter(desired -> server.version(model).orElse(0L) < desired.version())
            .isPresent();
    return isOutdated ? OUTDATED_PENALTY_SHARE * targetMicros : 0;
  }
}
