package org.shallothook.soak.standins;

/**
 * Names of headers between callers, routers and servers on the hosting platform.
 *
 * <p>Stateless and thread-safe.
 */
public final class PlatformHeaders {
  /** Identity of one attempt of a caller. */
  public static final String REQUEST_ID = "X-Shallothook-Request-Id";

  /** Milliseconds that the caller waits. */
  public static final String TIME_LEFT = "X-Shallothook-Request-Deadline";

  public static final String MODEL = "X-Shallothook-Model";

  /** Tokens of the prompt and most tokens of the answer. */
  public static final String TOKEN_COUNTS = "X-Shallothook-Token-Counts";

  /** Parts of the prompt, each with its tokens. */
  public static final String PROMPT_PARTS = "X-Shallothook-Prompt-Prefix";

  /** Proof that a server made the answer. */
  public static final String SIGNATURE = "X-Shallothook-Response-Signature";

  static final String EXPECTED_INSTANCE = "X-Shallothook-Expected-Instance";
  static final String EXPECTED_VERSION = "X-Shallothook-Expected-Version";
  static final String INSTANCE = "X-Shallothook-Instance-Id";
  static final String NOT_RUN = "X-Shallothook-Not-Executed";
  static final String WEIGHT_VERSION = "X-Shallothook-Weight-Versions";
  static final String LAST_EVENT = "Last-Event-Id";
  static final String LEAVING = "Server-Leaving";

  private PlatformHeaders() {}
}
