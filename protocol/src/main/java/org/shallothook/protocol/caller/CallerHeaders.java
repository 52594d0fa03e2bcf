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

  /** Tenant whose text opens the prompt. */
  public static final String TENANT = "shallothook-tenant";

  /** What is known of the request's effect. */
  public static final String OUTCOME = "shallothook-outcome";

  /** Identifier of the request, for {@code explain}. */
  public static final String REQUEST_ID = "shallothook-request-id";

  /** Caller's key of a call that may not be repeated. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  private static final String BEARER = "Bearer ";

  private CallerHeaders() {}

  /** Returns the team key of an {@code Authorization} header, or the empty string. */
  public static String keyOf(Optional<String> authorization) {
    return authorization
        .filter(value -> value.regionMatches(true, 0, BEARER, 0, BEARER.length()))
        .map(value -> value.substring(BEARER.length()).trim())
        .orElse("");
  }
}
