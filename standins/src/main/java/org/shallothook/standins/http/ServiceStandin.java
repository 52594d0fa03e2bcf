package org.shallothook.standins.http;

import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import org.shallothook.standins.fault.InjectedFaults;
import org.shallothook.standins.service.ServiceModel;
import org.shallothook.standins.service.ServiceResponse;

/** HTTP form of a plain service. Confined to its event loop. */
public final class ServiceStandin implements Standin {
  private static final long RESTART_MICROS = 1_000_000;

  private final ServiceModel model;
  private final long latencyMicros;

  /**
   * Creates the form of a model.
   *
   * @param latencyMicros time from a call to its answer, in microseconds
   */
  public ServiceStandin(ServiceModel model, long latencyMicros) {
    this.model = model;
    this.latencyMicros = latencyMicros;
  }

  @Override
  public void handle(StandinExchange exchange, long nowMicros) {
    if (exchange.is("GET", "v1", "status")) {
      JsonObject status = Json.object("incarnation", model.incarnation());
      status.addProperty("leaving", model.isLeaving());
      exchange.answer(200, status);
    } else if (exchange.method().equals("POST")) {
      call(exchange, nowMicros);
    } else {
      exchange.answer(404, Json.object("error", "Use POST /PATH."));
    }
  }

  private void call(StandinExchange exchange, long nowMicros) {
    Optional<Long> fencing = exchange.header("X-Fencing-Number").map(Long::parseLong);
    ServiceResponse answer =
        model.call(
            exchange.path(),
            exchange.header("Idempotency-Key").orElse(""),
            fencing.map(OptionalLong::of).orElse(OptionalLong.empty()));
    long faultDelay = model.disturbances().responseAtMicros(nowMicros) - nowMicros;
    exchange.delayBy(latencyMicros + faultDelay);
    byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
    exchange.answer(answer.status(), "application/json", body);
  }

  @Override
  public InjectedFaults disturbances() {
    return model.disturbances();
  }

  @Override
  public boolean applyFault(String fault, FaultRequest request, long nowMicros) {
    switch (fault) {
      case "crash" -> {
        model.restart();
        model.disturbances().setDownUntil(nowMicros + RESTART_MICROS);
      }
      case "leaving" -> model.setLeaving(request.flag("leaving", true));
      default -> {
        return false;
      }
    }
    return true;
  }

  @Override
  public JsonObject state(long nowMicros) {
    JsonObject state = Json.state(model.disturbances());
    state.addProperty("incarnation", model.incarnation());
    state.addProperty("fenced", model.fenced());
    return Json.with(state, "executions", model.executions());
  }
}
