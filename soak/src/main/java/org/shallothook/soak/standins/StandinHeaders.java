package org.shallothook.soak.standins;

/**
 * Names of the HTTP headers between callers, routers and servers on the hosting platform.
 *
 * <p>Stateless and thread-safe.
 */
public final class StandinHeaders {
  /** Id of the request; each retry by a caller has its own. */
  public static final String REQUEST_ID = "X-Shallothook-Request-Id";

  /** Time that the caller waits for the response, in milliseconds. */
  public static final String REQUEST_DEADLINE = "X-Shallothook-Request-Deadline";

  public static final String MODEL = "X-Shallothook-Model";

  /** Number of prompt tokens and maximum number of output tokens. */
  public static final String TOKEN_COUNTS = "X-Shallothook-Token-Counts";

  /** Leading parts of the prompt, each with its number of tokens. */
  public static final String PROMPT_PREFIX = "X-Shallothook-Prompt-Prefix";

  /** Signature of the server that generated the response. */
  public static final String SIGNATURE = "X-Shallothook-Response-Signature";

  static final String EXPECTED_INSTANCE = "X-Shallothook-Expected-Instance";
  static final String EXPECTED_VERSION = "X-Shallothook-Expected-Version";
  static final String INSTANCE = "X-Shallothook-Instance-Id";
  static final String NOT_EXECUTED = "X-Shallothook-Not-Executed";
  static final String WEIGHT_VERSION = "X-Shallothook-Weight-Versions";
  static final String LAST_EVENT_ID = "Last-Event-Id";
  static final String LEAVING = "Server-Leaving";

  private StandinHeaders() {}
}
