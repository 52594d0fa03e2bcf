package org.shallothook.state.request;

import java.util.Locale;

/**
 * Reasons for which a request is refused or ended early, each with its HTTP status and remedy.
 *
 * <p>The codes are stable because callers and counters rely on them. Immutable and thread-safe.
 */
public enum RefusalReason {
  UNKNOWN_KEY(401, "Send a valid team key as 'Authorization: Bearer KEY'."),
  UNKNOWN_MODEL(404, "Use a model listed by GET /v1/models for this team."),
  UNKNOWN_SERVICE(404, "Use a service that the team's template names."),
  NOT_FOUND(404, "Check the method and path against docs/CALLERS.md."),
  MALFORMED_REQUEST(400, "Send the JSON form described in docs/CALLERS.md."),
  BODY_TOO_LARGE(413, "Shorten the prompt, or ask the operator to raise the limit."),
  TEAM_LIMIT(429, "Wait for running requests of the team to end, then send again."),
  TEAM_ALLOWANCE(
      429,
      "Send again after the time in Retry-After, or ask the operator to raise the team's"
          + " allowance."),
  RETRY_BUDGET_EMPTY(503, "Send again after the time in Retry-After."),
  QUEUE_FULL(503, "Send again after the time in Retry-After."),
  DEADLINE_UNREACHABLE(503, "Send again after the time in Retry-After, or with a later deadline."),
  DEADLINE_PASSED(504, "Send again with a later deadline."),
  NO_UPSTREAM(503, "Send again after the time in Retry-After; operators: check upstream states."),
  UPSTREAM_LIMIT(503, "Send again after the time in Retry-After; the upstreams limit requests."),
  UPSTREAM_LEAVING(503, "Send again; another upstream will take the request."),
  WRONG_VERSION(503, "Send again after the time in Retry-After; the version is being loaded."),
  CONFIGURATION_BEHIND(503, "Send again after the time in Retry-After."),
  QUARANTINED(422, "Change the request: it has crashed engines before and is quarantined."),
  ENGINE_LOST(502, "Send again; the upstream ended before its answer was complete."),
  CONNECTION_LOST(502, "Check whether the call took effect before sending it again."),
  STREAM_CANNOT_RESUME(502, "Send again; no upstream of the same weights version could resume."),
  STREAM_ORIGIN_UNKNOWN(
      503, "Start the stream anew; it is not known which software version began it."),
  SOFTWARE_VERSION_GONE(
      503, "Start the stream anew; the software version that began it serves no more."),
  IDEMPOTENCY_KEY_MISSING(
      400, "Send a header Idempotency-Key with calls that may not be repeated."),
  IDEMPOTENCY_KEY_REUSED(409, "Use a new Idempotency-Key for a different payload."),
  IDEMPOTENCY_KEY_EXPIRED(409, "Use a new Idempotency-Key; this one is older than the window."),
  CLAIM_UNDECIDED(503, "Ask again with the same Idempotency-Key after the time in Retry-After."),
  CLAIM_HELD_ELSEWHERE(409, "Ask again with the same Idempotency-Key to learn the outcome."),
  LOG_UNAVAILABLE(503, "Send again after the time in Retry-After; the platform's log is down."),
  ROUTER_LEAVING(503, "Send again; the platform's balancer will choose another router."),
  ROUTER_OVERLOADED(503, "Send again after the time in Retry-After."),
  CRASHES_UPSTREAMS(503, "Change the request: each upstream that ran it has crashed."),
  HEAD_TOO_LARGE(431, "Shorten the headers, or ask the operator to raise the limit."),
  HEAD_TOO_SLOW(408, "Send the whole head of the request at once."),
  CALLER_GONE(499, "None: the caller closed its connection.");

  private final int status;
  private final String remedy;

  RefusalReason(int status, String remedy) {
    this.status = status;
    this.remedy = remedy;
  }

  /** Returns the stable code, such as {@code queue-full}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the HTTP status that the response to the caller has. */
  public int status() {
    return status;
  }

  /** Returns what the caller or the operator can do to resolve the refusal. */
  public String remedy() {
    return remedy;
  }
}
