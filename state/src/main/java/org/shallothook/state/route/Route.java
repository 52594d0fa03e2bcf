package org.shallothook.state.route;

import java.util.List;
import java.util.Objects;

/**
 * Rule that maps requests of a host below a path to services.
 *
 * <p>Invariant: the path prefix begins and ends with a slash, and at least one service has a weight
 * above zero. Immutable and thread-safe.
 *
 * @param name name of the route
 * @param host host that callers name, in lower case
 * @param pathPrefix beginning of the paths that belong to the route
 * @param kind what may be done with its requests
 * @param timeoutMicros longest time that a request may be kept waiting, in microseconds
 * @param targetMicros time within which an answer has its full worth, in microseconds
 * @param gapTargetMicros longest pause between two parts of an answer that is still on time
 * @param priority rank of its requests, 0 the highest
 * @param destinations services with their shares of the requests
 * @param maximumAttempts greatest number of servers that one request may run on
 * @param isPublic whether requests need no key
 * @param hasPrompt whether requests describe a prompt with cacheable parts
 * @param isResumable whether a broken stream may go on at another server
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    CallKind kind,
    long timeoutMicros,
    long targetMicros,
    long gapTargetMicros,
    int priority,
    List<Destination> destinations,
    int maximumAttempts,
    boolean isPublic,
    boolean hasPrompt,
    boolean isResumable) {

  /** A service with its share of the requests. Immutable and thread-safe. */
  public record Destination(String service, int weight) {}

  public Route {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(kind, "kind");
    destinations = List.copyOf(destinations);
    if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
      throw new IllegalArgumentException("The path prefix needs a slash at both ends.");
    }
    if (destinations.stream().mapToInt(Destination::weight).sum() <= 0) {
      throw new IllegalArgumentException("A route needs a service with a weight above zero.");
    }
  }

  /** Returns whether a request may run more than once. */
  public boolean isRepeatable() {
    return kind.isRepeatable(isResumable);
  }

  /**
   * Returns the service that a request goes to.
   *
   * @param draw random number, uniform over all values
   */
  public String serviceFor(int draw) {
    int total = destinations.stream().mapToInt(Destination::weight).sum();
    int left = Math.floorMod(draw, total);
    for (Destination destination : destinations) {
      left -= destination.weight();
      if (left < 0) {
        return destination.service();
      }
    }
    throw new IllegalStateException("The weights add up to more than the draw.");
  }
}
