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
 * <p>Pattern answered: new weights reach the servers a few at a time. While few have them, older
 * ones serve on; as soon as enough have them, those alone; from the deadline on only they may.
 *
 * <p>Each version has a deadline of its own, also where a newer one was named since.
 *
 * <p>Invariant: the version wanted of a model never decreases. Not thread-safe.
 */
final class WeightBoard {
  /** Time for which answers of older weights keep most of their worth, in microseconds. */
  private static final long GRACE_MICROS = 1_200_000;

  /** Share of the servers that can carry the load of all for a while. */
  private static final double ENOUGH_SHARE = 0.34;

  private final long deadlineMicros;
  private final Map<String, List<Named>> named = new HashMap<>();

  private record Named(long version, long atMicros) {}

  WeightBoard(long deadlineMicros) {
    this.deadlineMicros = deadlineMicros;
  }

  /** Takes in a wanted version and returns whether it is newer than the one known. */
  boolean onNamed(WeightVersion wanted, long nowMicros) {
    if (wanted(wanted.model()).filter(known -> known >= wanted.version()).isPresent()) {
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
  Optional<Long> wanted(String model) {
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
    List<Server> allowed = atLeast(servers, model, oldestAllowed(model, nowMicros));
    List<Server> current = atLeast(servers, model, wanted.get().version());
    boolean isEnough = current.size() >= Math.max(1, ENOUGH_SHARE * servers.size());
    boolean isGraceOver = nowMicros - wanted.get().atMicros() >= GRACE_MICROS;
    return isGraceOver && isEnough ? current : allowed;
  }

  private static List<Server> atLeast(List<Server> servers, String model, long version) {
    return servers.stream().filter(server -> server.version(model).orElse(0L) >= version).toList();
  }
}
