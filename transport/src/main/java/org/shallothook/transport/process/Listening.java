package org.shallothook.transport.process;

import io.vavr.control.Try;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.shallothook.transport.logging.LogComponent;

/**
 * Starts to listen on the addresses of a process and logs each of them.
 *
 * <p>Stateless and thread-safe.
 */
public final class Listening {
  private Listening() {}

  /** Something that listens on one address. */
  @FunctionalInterface
  public interface Listener {
    /** Starts to listen and returns the address bound. */
    Try<InetSocketAddress> listen(InetSocketAddress address);
  }

  /**
   * Starts to listen; returns a failure that names the address where it is taken.
   *
   * @param use who connects to the address, for the log
   * @param listener what listens
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
