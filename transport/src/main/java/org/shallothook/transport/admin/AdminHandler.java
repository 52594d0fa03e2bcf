package org.shallothook.transport.admin;

import java.util.concurrent.CompletionStage;

/**
 * Answers requests to one path of the admin port.
 *
 * <p>Called on the loop of the admin port: must not block, and may complete on any thread.
 */
@FunctionalInterface
public interface AdminHandler {

  /** Answers a request. A failed stage becomes status 500. */
  CompletionStage<AdminAnswer> handle(AdminRequest request);
}
