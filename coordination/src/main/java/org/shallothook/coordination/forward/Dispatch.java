package org.shallothook.coordination.forward;

import java.util.Objects;
import java.util.Optional;

/**
 * One attempt of a request at one server, with everything that the server has to be told.
 *
 * <p>Immutable and thread-safe.
 *
 * @param server identity that the server must have
 * @param address {@code IP:port} of the server
 * @param deadlineMicros when the server may stop working, on the decision clock
 * @param team team that the request belongs to
 * @param expectedVersion weights version that the server must have
 * @param cacheSalt scope in which cached parts may be shared
 * @param priority rank, 0 the highest and 9 the lowest
 * @param fetchFrom {@code IP:port} of a server or store that may have cached parts of the prompt
 * @param saveTo {@code IP:port} of a store that parts are copied to once they are read
 * @param resumesAfter last event that the caller already has
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
