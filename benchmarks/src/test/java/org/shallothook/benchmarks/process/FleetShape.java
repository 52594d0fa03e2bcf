package org.shallothook.benchmarks.process;

import java.util.List;
import java.util.stream.IntStream;

/**
 * What stands in a fleet besides its two routers and the platform.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engines names of the engines
 * @param services names of the booking services
 * @param fetchMillis time in which the weight store gives out a version, in milliseconds
 * @param isRelayed whether connections from routers to engines' sidecars go through a relay
 */
record FleetShape(
    List<String> engines, List<String> services, long fetchMillis, boolean isRelayed) {
  private static final long FETCH_MILLIS = 600;

  /** Two engines and two booking services. */
  static final FleetShape SMALL =
      new FleetShape(engines(2), List.of("rota-1", "rota-2"), FETCH_MILLIS, false);

  FleetShape {
    engines = List.copyOf(engines);
    services = List.copyOf(services);
  }

  /** Returns a fleet of engines alone. */
  static FleetShape ofEngines(int count) {
    return new FleetShape(engines(count), List.of(), FETCH_MILLIS, false);
  }

  FleetShape withFetchMillis(long millis) {
    return new FleetShape(engines, services, millis, isRelayed);
  }

  FleetShape withRelays() {
    return new FleetShape(engines, services, fetchMillis, true);
  }

  private static List<String> engines(int count) {
    return IntStream.rangeClosed(1, count).mapToObj(number -> "engine-" + number).toList();
  }
}
