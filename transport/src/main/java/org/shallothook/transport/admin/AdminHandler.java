package org.shallothook.transport.admin;

import java.util.concurrent.CompletionStage;

/**
 * Handles requests to one path of the admin port and the paths below it.
 *
 * <p>Called on the event loop of the admin port and must not block; the stage may complete on any
 * thread.
 */
@FunctionalInterface
public interface AdminHandler {

  /** Handles a request. An exception or a failed stage leads to status 500. */
  CompletionStage<AdminResponse> handle(AdminRequest request);
}
