package org.shallothook.transport.platform;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Consumer;
import org.shallothook.coordination.port.Counters;
import org.shallothook.protocol.platform.InstanceListParser;
import org.shallothook.state.membership.InstanceList;
import org.shallothook.transport.logging.LogComponent;

/**
 * Reads the platform's instance list if it has changed.
 *
 * <p>The listener is not called if the list is unchanged or cannot be read. Thread-safe.
 */
public final class InstanceListClient {
  private static final int OK = 200;
  private static final int NOT_MODIFIED = 304;

  private final HttpClient client;
  private final InetSocketAddress address;
  private final Duration timeout;
  private final Consumer<InstanceList> listener;
  private final Counters counters;

  /**
   * Creates a client.
   *
   * @param client sends the requests
   * @param address address of the instance list service
   * @param timeout timeout of a request
   * @param listener receives each list that was read; called on the client's event loop
   * @param counters counts failures
   */
  public InstanceListClient(
      HttpClient client,
      InetSocketAddress address,
      Duration timeout,
      Consumer<InstanceList> listener,
      Counters counters) {
    this.client = client;
    this.address = address;
    this.timeout = timeout;
    this.listener = listener;
    this.counters = counters;
  }

  /**
   * Reads the list unless it is unchanged.
   *
   * @param knownVersion version of the last list that was read, or -1 if there is none
   */
  public void read(long knownVersion) {
    String uri = "/instances?known=" + knownVersion;
    client.send(HttpCall.get(address, uri, timeout), this::wasRead);
  }

  private void wasRead(HttpResult result) {
    if (result instanceof HttpResult.Answered response && response.status() == OK) {
      InstanceListParser.read(response.body())
          .peek(listener)
          .peekLeft(error -> failed(error.message()));
    } else if (!(result instanceof HttpResult.Answered response
        && response.status() == NOT_MODIFIED)) {
      failed(result.toString());
    }
  }

  private void failed(String detail) {
    counters.increment("instances.read-failed");
    LogComponent.PLATFORM.debug("Reading the instance list failed: {}.", detail);
  }
}
