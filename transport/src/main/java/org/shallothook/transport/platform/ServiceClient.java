package org.shallothook.transport.platform;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.protocol.platform.EngineForm;
import org.shallothook.state.request.AttemptId;

/**
 * Calls the plain service beside a sidecar.
 *
 * <p>Invariant: each call is written at most once, on a connection of its own, and is answered by
 * exactly one event. Thread-safe.
 */
public final class ServiceClient {
  private static final int OK = 200;
  private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  private static final String FENCING_NUMBER = "X-Fencing-Number";

  private final HttpClient client;
  private final InetSocketAddress address;
  private final Duration callTimeout;
  private final Duration statusTimeout;
  private final Consumer<SidecarEvent> events;

  /**
   * Creates a client.
   *
   * @param client sends the calls
   * @param address address of the service
   * @param callTimeout longest wait for the answer to a call
   * @param statusTimeout longest wait for the service's state
   * @param events takes the answers; called on the loop of the client
   */
  public ServiceClient(
      HttpClient client,
      InetSocketAddress address,
      Duration callTimeout,
      Duration statusTimeout,
      Consumer<SidecarEvent> events) {
    this.client = client;
    this.address = address;
    this.callTimeout = callTimeout;
    this.statusTimeout = statusTimeout;
    this.events = events;
  }

  /** Calls the service. */
  public void call(SidecarCommand.CallService call) {
    Map<String, String> headers = new LinkedHashMap<>();
    call.idempotencyKey().ifPresent(key -> headers.put(IDEMPOTENCY_KEY, key));
    call.fencing().ifPresent(number -> headers.put(FENCING_NUMBER, Long.toString(number)));
    HttpCall post = HttpCall.postJson(address, "/" + call.path(), call.body(), callTimeout);
    client.send(
        post.withHeaders(call.contentType(), headers), result -> answered(call.attempt(), result));
  }

  /** Asks the service for its state. */
  public void readStatus() {
    client.send(HttpCall.get(address, "/v1/status", statusTimeout), this::statusRead);
  }

  private void answered(AttemptId attempt, HttpResult result) {
    if (result instanceof HttpResult.Answered answer) {
      events.accept(
          new SidecarEvent.ServiceAnswered(
              attempt, answer.status(), answer.contentType(), answer.body()));
    } else {
      events.accept(new SidecarEvent.ServiceFailed(attempt, result instanceof HttpResult.Lost));
    }
  }

  private void statusRead(HttpResult result) {
    if (result instanceof HttpResult.Answered answer && answer.status() == OK) {
      EngineForm.serviceStatus(answer.body())
          .peek(events)
          .peekLeft(error -> events.accept(new SidecarEvent.EngineUnreachable()));
    } else {
      events.accept(new SidecarEvent.EngineUnreachable());
    }
  }
}
