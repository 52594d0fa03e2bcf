package org.shallothook.transport.platform;

import io.vavr.control.Either;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.protocol.json.JsonError;
import org.shallothook.protocol.platform.EngineFormat;
import org.shallothook.state.request.AttemptId;
import org.shallothook.transport.logging.LogComponent;

/**
 * Client of the model engine that a sidecar serves.
 *
 * <p>Invariant: a started completion ends with exactly one final event, or with none if it was
 * cancelled. {@link SidecarEvent.EngineEnded} is emitted only after the engine's end marker.
 * Thread-safe; events are delivered on the client's event loop.
 */
public final class EngineClient {
  private static final int OK = 200;
  private static final int ACCEPTED = 202;

  private final HttpClient client;
  private final EngineClientSettings settings;
  private final Consumer<SidecarEvent> events;
  private final Map<AttemptId, EngineCompletion> completions = new HashMap<>();

  /**
   * Creates a client.
   *
   * @param client sends the requests
   * @param settings addresses and timeouts
   * @param events receives the results
   */
  public EngineClient(
      HttpClient client, EngineClientSettings settings, Consumer<SidecarEvent> events) {
    this.client = client;
    this.settings = settings;
    this.events = events;
  }

  /** Starts a completion and reads its stream. */
  public void start(SidecarCommand.StartAnswer start) {
    client.loop().execute(() -> startOnLoop(start));
  }

  /** Cancels a completion and closes its connection. */
  public void cancel(AttemptId attempt) {
    client.loop().execute(() -> cancelOnLoop(attempt));
  }

  /** Pauses or resumes reading a completion. */
  public void pause(AttemptId attempt, boolean isPaused) {
    client
        .loop()
        .execute(
            () -> Optional.ofNullable(completions.get(attempt)).ifPresent(a -> a.pause(isPaused)));
  }

  /** Requests the engine's status. */
  public void readStatus() {
    get("/v1/status", EngineFormat::status, new SidecarEvent.EngineUnreachable());
  }

  /** Requests the changes of the engine's cache from a sequence number on. */
  public void readCacheChanges(long fromSequence) {
    get(
        "/v1/cache/changes?from=" + fromSequence,
        EngineFormat::cacheChanges,
        new SidecarEvent.EngineUnreachable());
  }

  /** Requests the list of all blocks in the engine's cache. */
  public void listCache() {
    get("/v1/cache/blocks", EngineFormat::cacheList, new SidecarEvent.EngineUnreachable());
  }

  /** Orders the engine to switch to a role. */
  public void order(SidecarCommand.OrderRole order) {
    HttpCall call =
        HttpCall.postJson(
            settings.engine(), "/v1/orders", EngineFormat.order(order), settings.statusTimeout());
    client.send(
        call,
        result -> events.accept(new SidecarEvent.RoleOrderAnswered(order, isAccepted(result))));
  }

  /** Orders the engine to load or unload a model version. */
  public void order(SidecarCommand.OrderModelVersion order) {
    HttpCall call =
        HttpCall.postJson(
            settings.engine(), "/v1/orders", EngineFormat.order(order), settings.statusTimeout());
    client.send(
        call,
        result ->
            events.accept(new SidecarEvent.OrderAnswered(order.fencing(), isAccepted(result))));
  }

  /** Transfers cached blocks between the engine and the cache store. */
  public void transfer(SidecarCommand.TransferBlocks transfer) {
    String uri = transfer.isImport() ? "/v1/cache/import" : "/v1/cache/export";
    HttpCall call =
        HttpCall.postJson(
            settings.engine(),
            uri,
            EngineFormat.transfer(transfer, settings.store()),
            settings.transferTimeout());
    client.send(
        call,
        result ->
            events.accept(
                read(result, EngineFormat::transferred)
                    .map(keys -> new SidecarEvent.TransferEnded(transfer.token(), keys))
                    .orElse(new SidecarEvent.TransferEnded(transfer.token(), List.of()))));
  }

  private void startOnLoop(SidecarCommand.StartAnswer start) {
    AttemptId attempt = start.attempt();
    EngineCompletion completion =
        new EngineCompletion(attempt, events, () -> completions.remove(attempt));
    completions.put(attempt, completion);
    HttpCall call =
        HttpCall.postJson(
            settings.engine(),
            "/v1/completions",
            EngineFormat.start(start, settings.blockBytes()),
            settings.streamTimeout());
    completion.setExchange(client.stream(call, completion));
  }

  private void cancelOnLoop(AttemptId attempt) {
    Optional.ofNullable(completions.remove(attempt)).ifPresent(EngineCompletion::cancel);
    String name = URLEncoder.encode(EngineFormat.requestId(attempt), StandardCharsets.UTF_8);
    client.send(
        HttpCall.delete(settings.engine(), "/v1/completions/" + name, settings.statusTimeout()),
        result -> LogComponent.UPSTREAM.debug("Cancelled {}: {}.", attempt, result));
  }

  private <T extends SidecarEvent> void get(
      String uri, Function<String, Either<JsonError, T>> parser, SidecarEvent failure) {
    client.send(
        HttpCall.get(settings.engine(), uri, settings.statusTimeout()),
        result ->
            events.accept(read(result, parser).map(SidecarEvent.class::cast).orElse(failure)));
  }

  private static <T> Optional<T> read(
      HttpResult result, Function<String, Either<JsonError, T>> parser) {
    if (result instanceof HttpResult.Answered response && response.status() == OK) {
      return parser
          .apply(response.body())
          .peekLeft(
              error ->
                  LogComponent.UPSTREAM.warn(
                      "A response could not be parsed: {}.", error.message()))
          .toJavaOptional();
    }
    return Optional.empty();
  }

  private static Optional<Boolean> isAccepted(HttpResult result) {
    if (result instanceof HttpResult.Answered response) {
      return Optional.of(response.status() == ACCEPTED);
    }
    return result instanceof HttpResult.NotSent ? Optional.of(false) : Optional.empty();
  }
}
