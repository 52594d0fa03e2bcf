package org.shallothook.transport.platform;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.protocol.platform.EngineFormat;
import org.shallothook.state.request.AttemptId;

/**
 * Client of the plain service that a sidecar serves.
 *
 * <p>Invariant: each call is written at most once, on a new connection, and leads to exactly one
 * event. Thread-safe.
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
   * @param client sends the requests
   * @param address address of the service
   * @param callTimeout timeout of a call
   * @param statusTimeout timeout of a status request
   * @param events receives the results; called on the client's event loop
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
    call.fencing().ifPresent(token -> headers.put(FENCING_NUMBER, Long.toString(token)));
    HttpCall post = HttpCall.postJson(address, "/" + call.path(), call.body(), callTimeout);
    client.send(
        post.withHeaders(call.contentType(), headers), result -> answered(call.attempt(), result));
  }

  /** Requests the service's status. */
  public void readStatus() {
    client.send(HttpCall.get(address, "/v1/status", statusTimeout), this::statusRead);
  }

  private void answered(AttemptId attempt, HttpResult result) {
    if (result instanceof HttpResult.Answered response) {
      events.accept(
          new SidecarEvent.ServiceAnswered(
              attempt, response.status(), response.contentType(), response.body()));
    } else {
      events.accept(new SidecarEvent.ServiceFailed(attempt, result instanceof HttpResult.Lost));
    }
  }

  private void statusRead(HttpResult result) {
    if (result instanceof HttpResult.Answered response && response.status() == OK) {
      EngineFormat.serviceStatus(response.body())
          .peek(events)
          .peekLeft(error -> events.accept(new SidecarEvent.EngineUnreachable()));
    } else {
      events.accept(new SidecarEvent.EngineUnreachable());
    }
  }
}
