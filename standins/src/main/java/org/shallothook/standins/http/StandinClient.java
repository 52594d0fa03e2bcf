package org.shallothook.standins.http;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;

/**
 * Requests of engines to the weight store and the KV-cache store.
 *
 * <p>Thread-safe; results arrive on the executor given.
 */
public final class StandinClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final int OK = 200;

  private final Executor executor;
  private final HttpClient client;

  /**
   * Creates a client.
   *
   * @param executor executor that takes the results
   */
  public StandinClient(Executor executor) {
    this.executor = executor;
    this.client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  }

  /** Fetches weights and tells whether they came. */
  void fetchWeights(InetSocketAddress store, ModelVersion version, Consumer<Boolean> result) {
    String path = "/weights/" + encode(version.model()) + "/" + encode(version.version());
    send(request(store, path).GET().build(), result);
  }

  /** Stores a block and tells whether it was taken. */
  void putBlock(String store, CacheIdentity identity, BlockKey key, Consumer<Boolean> result) {
    send(
        request(addressOf(store), blockPath(identity, key))
            .PUT(BodyPublishers.ofString(key.toHex()))
            .build(),
        result);
  }

  /** Reads a block and tells whether the store has it. */
  void getBlock(String store, CacheIdentity identity, BlockKey key, Consumer<Boolean> result) {
    send(request(addressOf(store), blockPath(identity, key)).GET().build(), result);
  }

  private void send(HttpRequest request, Consumer<Boolean> result) {
    var unused =
        client
            .sendAsync(request, BodyHandlers.discarding())
            .handleAsync(
                (response, failure) -> {
                  result.accept(failure == null && isSuccess(response.statusCode()));
                  return null;
                },
                executor);
  }

  private static boolean isSuccess(int status) {
    return status >= OK && status < OK + 100;
  }

  private static HttpRequest.Builder request(InetSocketAddress address, String path) {
    String host = address.getAddress().getHostAddress() + ":" + address.getPort();
    return HttpRequest.newBuilder(URI.create("http://" + host + path)).timeout(TIMEOUT);
  }

  private static String blockPath(CacheIdentity identity, BlockKey key) {
    ModelVersion version = identity.modelVersion();
    return "/blocks/"
        + key.toHex()
        + "?team="
        + encode(identity.team())
        + "&model="
        + encode(version.model())
        + "&version="
        + encode(version.version())
        + "&adapter="
        + encode(version.adapter());
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  private static InetSocketAddress addressOf(String store) {
    int colon = store.lastIndexOf(':');
    int port = Integer.parseInt(store.substring(colon + 1));
    return new InetSocketAddress(store.substring(0, Math.max(0, colon)), port);
  }
}
