package org.shallothook.coordination.forward;

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
 * <p>Invariant: the version wanted of a model never decreases. Not thread-safe.
 */
final class WeightBoard {
  /** Time for which answers of older weights keep most of their worth, in microseconds. */
  private static final long GRACE_MICROS = 1_200_000;

  /** Share of the servers that can carry the load of all for a while. */
  private static final double ENOUGH_SHARE = 0.34;

  private final long deadlineMicros;
  private final Map<String, Named> named = new HashMap<>();

  private record Named(long version, long atMicros) {}

  WeightBoard(long deadlineMicros) {
    this.deadlineMicros = deadlineMicros;
  }

  /** Takes in a wanted version and returns whether it is newer than the one known. */
  boolean onNamed(WeightVersion wanted, long nowMicros) {
    Named known = named.get(wanted.model());
    if (known != null && known.version() >= wanted.version()) {
      return false;
    }
    named.put(wanted.model(), new Named(wanted.version(), nowMicros));
    return true;
  }

  /** Returns the version wanted of a model. */
  Optional<Long> wanted(String model) {
    return Optional.ofNullable(named.get(model)).map(Named::version);
  }

  /** Returns the servers that may begin a request for a model now. */
  List<Server> eligible(List<Server> servers, String model, long nowMicros) {
    Named wanted = named.get(model);
    if (wanted == null) {
      return servers;
    }
    List<Server> current =
        servers.stream()
            .filter(server -> server.version(model).orElse(0L) >= wanted.version())
            .toList();
    long age = nowMicros - wanted.atMicros();
    if (age >= deadlineMicros) {
      return current;
    }
    boolean isEnough = current.size() >= Math.max(1, ENOUGH_SHARE * servers.size());
    return age >= GRACE_MICROS && isEnough ? current : servers;
  }
}
