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
import org.shallothook.protocol.platform.EngineForm;
import org.shallothook.state.request.AttemptId;
import org.shallothook.transport.logging.LogComponent;

/**
 * Talks to the engine beside a sidecar.
 *
 * <p>Invariant: an answer that was started ends in exactly one event, or in none after it was
 * cancelled; {@link SidecarEvent.EngineEnded} is said only after the engine's end marker.
 * Thread-safe; events come on the loop of the client.
 */
public final class EngineClient {
  private static final int OK = 200;
  private static final int ACCEPTED = 202;

  private final HttpClient client;
  private final EngineSettings settings;
  private final Consumer<SidecarEvent> events;
  private final Map<AttemptId, EngineAnswer> answers = new HashMap<>();

  /**
   * Creates a client.
   *
   * @param client sends the calls
   * @param settings addresses and timeouts
   * @param events takes the answers
   */
  public EngineClient(HttpClient client, EngineSettings settings, Consumer<SidecarEvent> events) {
    this.client = client;
    this.settings = settings;
    this.events = events;
  }

  /** Starts an answer. */
  public void start(SidecarCommand.StartAnswer start) {
    client.loop().execute(() -> startOnLoop(start));
  }

  /** Cancels an answer and closes its connection. */
  public void cancel(AttemptId attempt) {
    client.loop().execute(() -> cancelOnLoop(attempt));
  }

  /** Stops or restarts reading an answer. */
  public void pause(AttemptId attempt, boolean isPaused) {
    client
        .loop()
        .execute(() -> Optional.ofNullable(answers.get(attempt)).ifPresent(a -> a.pause(isPaused)));
  }

  /** Asks for the engine's state. */
  public void readStatus() {
    get("/v1/status", EngineForm::status, new SidecarEvent.EngineUnreachable());
  }

  /** Asks for changes of the engine's cache. */
  public void readCacheChanges(long fromSequence) {
    get(
        "/v1/cache/changes?from=" + fromSequence,
        EngineForm::cacheChanges,
        new SidecarEvent.EngineUnreachable());
  }

  /** Asks for a list of the engine's whole cache. */
  public void listCache() {
    get("/v1/cache/blocks", EngineForm::cacheList, new SidecarEvent.EngineUnreachable());
  }

  /** Orders the engine to take a role. */
  public void order(SidecarCommand.OrderRole order) {
    HttpCall call =
        HttpCall.postJson(
            settings.engine(), "/v1/orders", EngineForm.order(order), settings.statusTimeout());
    client.send(
        call,
        result -> events.accept(new SidecarEvent.RoleOrderAnswered(order, isAccepted(result))));
  }

  /** Orders the engine to load or unload a model version. */
  public void order(SidecarCommand.OrderEngine order) {
    HttpCall call =
        HttpCall.postJson(
            settings.engine(), "/v1/orders", EngineForm.order(order), settings.statusTimeout());
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
            EngineForm.transfer(transfer, settings.store()),
            settings.transferTimeout());
    client.send(
        call,
        result ->
            events.accept(
                read(result, EngineForm::transferred)
                    .map(keys -> new SidecarEvent.TransferEnded(transfer.token(), keys))
                    .orElse(new SidecarEvent.TransferEnded(transfer.token(), List.of()))));
  }

  private void startOnLoop(SidecarCommand.StartAnswer start) {
    AttemptId attempt = start.attempt();
    EngineAnswer answer = new EngineAnswer(attempt, events, () -> answers.remove(attempt));
    answers.put(attempt, answer);
    HttpCall call =
        HttpCall.postJson(
            settings.engine(),
            "/v1/completions",
            EngineForm.start(start, settings.blockBytes()),
            settings.streamTimeout());
    answer.setExchange(client.stream(call, answer));
  }

  private void cancelOnLoop(AttemptId attempt) {
    Optional.ofNullable(answers.remove(attempt)).ifPresent(EngineAnswer::cancel);
    String name = URLEncoder.encode(EngineForm.requestId(attempt), StandardCharsets.UTF_8);
    client.send(
        HttpCall.delete(settings.engine(), "/v1/completions/" + name, settings.statusTimeout()),
        result -> LogComponent.UPSTREAM.debug("Cancelled {}: {}.", attempt, result));
  }

  private <T extends SidecarEvent> void get(
      String uri, Function<String, Either<JsonError, T>> form, SidecarEvent failure) {
    client.send(
        HttpCall.get(settings.engine(), uri, settings.statusTimeout()),
        result -> events.accept(read(result, form).map(SidecarEvent.class::cast).orElse(failure)));
  }

  private static <T> Optional<T> read(
      HttpResult result, Function<String, Either<JsonError, T>> form) {
    if (result instanceof HttpResult.Answered answer && answer.status() == OK) {
      return form.apply(answer.body())
          .peekLeft(
              error -> LogComponent.UPSTREAM.warn("An answer was unreadable: {}.", error.message()))
          .toJavaOptional();
    }
    return Optional.empty();
  }

  private static Optional<Boolean> isAccepted(HttpResult result) {
    if (result instanceof HttpResult.Answered answer) {
      return Optional.of(answer.status() == ACCEPTED);
    }
    return result instanceof HttpResult.NotSent ? Optional.of(false) : Optional.empty();
  }
}
