package org.shallothook.state.route;

import java.util.List;
import java.util.Objects;

/**
 * A rule that maps the requests for a host and path prefix to services.
 *
 * <p>Invariant: the path prefix begins and ends with a slash, and at least one service has a weight
 * above zero. Immutable and thread-safe.
 *
 * @param name name of the route
 * @param host host name that callers request, in lower case
 * @param pathPrefix prefix of the paths that the route matches
 * @param kind whether its requests may be repeated, and how they are answered
 * @param timeoutMicros maximum time that a request may wait, in microseconds
 * @param targetMicros time within which a response has its full value, in microseconds
 * @param gapTargetMicros longest pause between two parts of a response that counts as on time, in
 *     microseconds
 * @param priority priority of its requests, 0 the highest
 * @param destinations services among which the requests are distributed, with their weights
 * @param maximumAttempts maximum number of servers that one request may run on
 * @param isPublic whether requests need no API key
 * @param hasPrompt whether requests describe a prompt with cacheable parts
 * @param isResumable whether an interrupted stream may be resumed at another server
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

  /**
   * A service and its share of the requests. Immutable and thread-safe.
   *
   * @param service name of the service
   * @param weight share of the requests, relative to the weights of the other destinations
   */
  public record Destination(String service, int weight) {}

  public Route {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(kind, "kind");
    destinations = List.copyOf(destinations);
    if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
      throw new IllegalArgumentException("The path prefix must begin and end with a slash.");
    }
    if (destinations.stream().mapToInt(Destination::weight).sum() <= 0) {
      throw new IllegalArgumentException(
          "A route needs at least one service with a weight above zero.");
    }
  }

  /** Returns whether a request may run more than once. */
  public boolean isRepeatable() {
    return kind.isRepeatable(isResumable);
  }

  /**
   * Returns the target for the first output or that for the longest gap, whichever is shorter, in
   * microseconds.
   */
  public long shortestTargetMicros() {
    return Math.min(targetMicros, gapTargetMicros);
  }

  /**
   * Chooses the service for a request by weight.
   *
   * @param draw random number, uniformly distributed over all values
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
    throw new IllegalStateException("The draw exceeds the total of the weights.");
  }
}
