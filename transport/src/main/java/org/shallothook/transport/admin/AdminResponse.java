package org.shallothook.transport.admin;

import java.util.Objects;

/**
 * Response of the admin port.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status HTTP status
 * @param contentType content type of the body
 * @param body response body
 */
public record AdminResponse(int status, String contentType, String body) {
  private static final String JSON = "application/json";

  public AdminResponse {
    Objects.requireNonNull(contentType, "contentType");
    Objects.requireNonNull(body, "body");
  }

  /** Returns a JSON response. */
  public static AdminResponse json(int status, String body) {
    return new AdminResponse(status, JSON, body);
  }

  /** Returns a JSON response with status 200. */
  public static AdminResponse ok(String body) {
    return json(200, body);
  }
}
