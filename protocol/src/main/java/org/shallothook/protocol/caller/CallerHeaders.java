package org.shallothook.protocol.caller;

import java.util.Optional;

/**
 * Names and values of the headers that callers and routers exchange.
 *
 * <p>Stateless and thread-safe.
 */
public final class CallerHeaders {
  /** Deadline of the first token, in milliseconds since the epoch. */
  public static final String DEADLINE = "shallothook-deadline-ms";

  /** Tenant whose text is the prefix of the prompt. */
  public static final String TENANT = "shallothook-tenant";

  /** Whether the request ran, as far as the router knows. */
  public static final String OUTCOME = "shallothook-outcome";

  /** Identifier of the request, which the {@code explain} command accepts. */
  public static final String REQUEST_ID = "shallothook-request-id";

  /** Key with which a caller identifies a call that must not run twice. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  private static final String BEARER = "Bearer ";

  private CallerHeaders() {}

  /** Returns the bearer token of an {@code Authorization} header, or the empty string. */
  public static String bearerToken(Optional<String> authorization) {
    return authorization
        .filter(value -> value.regionMatches(true, 0, BEARER, 0, BEARER.length()))
        .map(value -> value.substring(BEARER.length()).trim())
        .orElse("");
  }
}
