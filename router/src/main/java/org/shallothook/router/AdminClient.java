package org.shallothook.router;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.shallothook.coordination.port.Counters;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.platform.HttpCall;
import org.shallothook.transport.platform.HttpClient;
import org.shallothook.transport.platform.HttpResult;
import org.shallothook.transport.platform.HttpSettings;

/**
 * HTTP client of a running router's admin port, for commands.
 *
 * <p>Not thread-safe.
 */
final class AdminClient implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final int OK = 200;

  private final InetSocketAddress address;
  private final EventLoops loops = EventLoops.create(1);
  private final HttpClient client =
      new HttpClient(loops.internal(), HttpSettings.DEFAULT, Counters.NONE);

  AdminClient(InetSocketAddress address) {
    this.address = address;
  }

  /**
   * Sends a GET request and returns the response body.
   *
   * @throws IOException if the router cannot be reached or does not respond with 200
   */
  String get(String path) throws IOException, InterruptedException {
    return send(HttpCall.get(address, path, TIMEOUT));
  }

  /**
   * Sends a POST request with a JSON body and returns the response body.
   *
   * @throws IOException if the router cannot be reached or does not respond with 200
   */
  String post(String path, String body) throws IOException, InterruptedException {
    return send(HttpCall.postJson(address, path, body, TIMEOUT));
  }

  @Override
  public void close() {
    loops.close();
  }

  private String send(HttpCall call) throws IOException, InterruptedException {
    CompletableFuture<HttpResult> result = new CompletableFuture<>();
    client.send(call, result::complete);
    try {
      return bodyOf(result.get());
    } catch (ExecutionException e) {
      throw new IOException(e.getCause());
    }
  }

  private String bodyOf(HttpResult result) throws IOException {
    if (result instanceof HttpResult.Answered response) {
      if (response.status() == OK) {
        return response.body();
      }
      throw new IOException(
          "The router responded with status " + response.status() + ": " + response.body());
    }
    throw new IOException(
        "Cannot reach a router at " + address + "; start it or check [listen] admin.");
  }
}
