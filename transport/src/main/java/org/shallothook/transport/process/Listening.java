package org.shallothook.transport.process;

import io.vavr.control.Try;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.shallothook.transport.logging.LogComponent;

/**
 * Starts listeners on the addresses of a process and logs each address.
 *
 * <p>Stateless and thread-safe.
 */
public final class Listening {
  private Listening() {}

  /** A server that listens on one address. */
  @FunctionalInterface
  public interface Listener {
    /** Starts listening and returns the bound address. */
    Try<InetSocketAddress> listen(InetSocketAddress address);
  }

  /**
   * Starts a listener. The failure that is returned if the address cannot be bound names it.
   *
   * @param use kind of clients that connect to the address, for the log
   * @param listener listener to start
   * @param address address to listen on
   */
  public static Try<Void> start(String use, Listener listener, InetSocketAddress address) {
    return listener
        .listen(address)
        .peek(bound -> LogComponent.PROCESS.info("Listening for {} on {}.", use, bound))
        .<Void>map(bound -> null)
        .recoverWith(cause -> Try.failure(failureOf(use, address, cause)));
  }

  private static IOException failureOf(String use, InetSocketAddress address, Throwable cause) {
    return new IOException(
        "Cannot listen for " + use + " on " + address + ": " + cause.getMessage(), cause);
  }
}
