package org.shallothook.state.request;

/**
 * Identifier of a caller's request, unique across routers and their restarts.
 *
 * <p>Invariant: not blank. Immutable and thread-safe.
 *
 * @param value text of the identifier
 */
public record RequestId(String value) {
  public RequestId {
    if (value.isBlank()) {
      throw new IllegalArgumentException("A request identifier must not be blank.");
    }
  }

  /**
   * Returns the identifier of a request, made from its router and its number there.
   *
   * @param router name of the router
   * @param incarnation incarnation of the router's process
   * @param sequence number of the request within that incarnation
   */
  public static RequestId of(String router, long incarnation, long sequence) {
    return new RequestId(router + "-" + Long.toHexString(incarnation) + "-" + sequence);
  }

  @Override
  public String toString() {
    return value;
  }
}
