package org.shallothook.coordination.forward;

import java.util.Objects;
import java.util.Optional;

/**
 * One attempt of a request at one server, with everything that is sent along to the server.
 *
 * <p>Immutable and thread-safe.
 *
 * @param server identity that the server is expected to have
 * @param address {@code IP:port} of the server
 * @param deadlineMicros when the server may stop working on the request, on the decision clock in
 *     microseconds
 * @param team team that sent the request
 * @param expectedVersion version of the weights that the server is expected to have
 * @param cacheSalt scope in which cached prompt parts may be shared
 * @param priority priority from 0, the highest, to 9, the lowest
 * @param fetchFrom {@code IP:port} of a server or store that may hold cached parts of the prompt
 * @param saveTo {@code IP:port} of a store to copy the cached parts to after the prefill
 * @param resumesAfter number of the last stream event that the caller already has
 */
public record Dispatch(
    String server,
    String address,
    long deadlineMicros,
    Optional<String> team,
    Optional<Long> expectedVersion,
    Optional<String> cacheSalt,
    Optional<Integer> priority,
    Optional<String> fetchFrom,
    Optional<String> saveTo,
    Optional<Long> resumesAfter) {
  public Dispatch {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(address, "address");
  }
}
