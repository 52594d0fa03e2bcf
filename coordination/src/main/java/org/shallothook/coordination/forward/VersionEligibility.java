package org.shallothook.coordination.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothook.state.route.WeightVersion;

/**
 * Which versions of weights are wanted, and which servers may therefore begin a request.
 *
 * <p>Pattern answered: new weights reach the servers a few at a time, and those that have them
 * start without cached parts. Older ones serve on until the deadline, but count as later than they
 * are, so that they take what would come late elsewhere.
 *
 * <p>Each version has a deadline of its own, also where a newer one was named since.
 *
 * <p>Invariant: the version wanted of a model never decreases. Not thread-safe.
 */
final class VersionEligibility {
  /** Time for which answers of older weights keep most of their worth, in microseconds. */
  private static final long GRACE_MICROS = 1_200_000;

  /** Part of a request's target by which a server with older weights counts as later. */
  private static final double OLDER_PART = 0.25;

  private final long deadlineMicros;
  private final Map<String, List<Named>> named = new HashMap<>();

  private record Named(long version, long atMicros) {}

  VersionEligibility(long deadlineMicros) {
    this.deadlineMicros = deadlineMicros;
  }

  /** Takes in a wanted version and returns whether it is newer than the one known. */
  boolean onDesiredVersion(WeightVersion wanted, long nowMicros) {
    if (desiredVersion(wanted.model()).filter(known -> known >= wanted.version()).isPresent()) {
      return false;
    }
    List<Named> versions = named.computeIfAbsent(wanted.model(), model -> new ArrayList<>());
    versions.add(new Named(wanted.version(), nowMicros));
    // Of those past their deadline only the newest matters.
    while (versions.size() > 1 && isOverdue(versions.get(1), nowMicros)) {
      versions.remove(0);
    }
    return true;
  }

  /** Returns the version wanted of a model. */
  Optional<Long> desiredVersion(String model) {
    return newest(model).map(Named::version);
  }

  private Optional<Named> newest(String model) {
    List<Named> versions = named.getOrDefault(model, List.of());
    return versions.isEmpty() ? Optional.empty() : Optional.of(versions.get(versions.size() - 1));
  }

  private boolean isOverdue(Named version, long nowMicros) {
    return nowMicros - version.atMicros() >= deadlineMicros;
  }

  /** Returns the oldest version that a request may still begin on. */
  private long oldestAllowed(String model, long nowMicros) {
    return named.getOrDefault(model, List.of()).stream()
        .filter(version -> isOverdue(version, nowMicros))
        .mapToLong(Named::version)
        .max()
        .orElse(0);
  }

  /** Returns the servers that may begin a request for a model now. */
  List<Server> eligible(List<Server> servers, String model, long nowMicros) {
    Optional<Named> wanted = newest(model);
    if (wanted.isEmpty()) {
      return servers;
    }
    long oldest = oldestAllowed(model, nowMicros);
    return servers.stream().filter(server -> server.version(model).orElse(0L) >= oldest).toList();
  }

  /** Returns by how much a server counts as later for the age of its weights, in microseconds. */
  double olderMicros(Server server, String model, long targetMicros, long nowMicros) {
    boolean isOlder =
        newest(model)
            .filter(wanted -> nowMicros - wanted.atMicros() >= GRACE_MICROS)
            .filter(wanted -> server.version(model).orElse(0L) < wanted.version())
            .isPresent();
    return isOlder ? OLDER_PART * targetMicros : 0;
  }
}
